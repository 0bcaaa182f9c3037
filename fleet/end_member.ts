import type { Member } from "./member.ts";

/** Ends one process of the fleet and waits until it has gone. */
export function endMember(
  member: Member,
  signal: NodeJS.Signals = "SIGKILL",
): Promise<void> {
  const { process: child } = member;
  if (child.exitCode !== null || child.signalCode !== null) {
    return Promise.resolve();
  }
  return new Promise((resolve) => {
    child.once("exit", () => resolve());
    child.kill(signal);
    // A stopped process handles no other signal than SIGKILL.
    if (signal !== "SIGKILL") child.kill("SIGCONT");
  });
}
