import type { Member } from "./member.ts";

/** Signals a process of the fleet and waits until it has exited. */
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
    // A process that is stopped handles only SIGKILL until it is continued.
    if (signal !== "SIGKILL") child.kill("SIGCONT");
  });
}
