import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import type { Fleet } from "../../fleet/fleet.ts";

/**
 * Returns how often each operation ran for each key (`PATH KEY`), counted over
 * all backend servers of a fleet, including killed ones, or at one host.
 */
export function readRuns(
  { directory }: Fleet,
  host = "",
): Map<string, number> {
  const runs = new Map<string, number>();
  for (const file of readdirSync(directory)) {
    if (!file.endsWith(`${host}.runs`)) continue;
    for (const run of readFileSync(join(directory, file), "utf8").split("\n")) {
      if (run !== "") runs.set(run, (runs.get(run) ?? 0) + 1);
    }
  }
  return runs;
}
