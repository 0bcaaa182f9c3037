import type { Member } from "../fleet/member.ts";
import { until } from "./until.ts";

/** Waits until a process exits and returns its exit status or signal. */
export async function waitForExit(
  { name, process: child }: Member,
): Promise<number | string | null> {
  await until(
    `exit of ${name}`,
    () => child.exitCode !== null || child.signalCode !== null,
  );
  return child.exitCode ?? child.signalCode;
}
