import { readFileSync, renameSync, writeFileSync } from "node:fs";
import type { Member } from "../fleet/member.ts";
import { until } from "./until.ts";

/** Injects faults into a daemon, see `fault_switch.ts`, and waits until they are applied. */
export async function setFaults(
  daemon: Member,
  faults: { control?: boolean; hosts?: string[] },
): Promise<void> {
  const file = `${daemon.args.at(-1)}.faults`;
  const text = JSON.stringify(faults);
  // Renamed when complete: the daemon reads the file at any moment.
  writeFileSync(`${file}.new`, text);
  renameSync(`${file}.new`, file);
  await until(
    `faults of ${daemon.name}`,
    () => readFileSync(`${file}.seen`, "utf8") === text,
  );
}
