import type { Member } from "../fleet/member.ts";
import { until } from "./until.ts";

/** Waits for the end of a process and returns its status or signal. */
export async function waitForExit(
  { name, process: child }: Member,
): Promise<number | string | null> {
  await until(
    `end of ${name}`,
    () => child.exitCode !== null || child.signalCode !== null,
  );
  return child.exitCode ?? child.signalCode;
}
