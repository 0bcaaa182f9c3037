import { execFileSync } from "node:child_process";
import { join } from "node:path";
import process from "node:process";
import type { Fleet } from "../../fleet/fleet.ts";
import { startFleet } from "../../fleet/start_fleet.ts";
import { stopFleet } from "../../fleet/stop_fleet.ts";

let built = false;

/**
 * Starts a fleet, runs a test body on it and stops all processes. Each backend
 * server writes a journal of its runs, see `readRuns`.
 */
export async function withFleet<Value>(
  options: Parameters<typeof startFleet>[0],
  body: (fleet: Fleet) => Promise<Value>,
): Promise<Value> {
  if (!built) execFileSync(process.execPath, ["scripts/build.mjs"]);
  built = true;
  const fleet = await startFleet({
    ...options,
    extra: (vm) => ({
      journal: join(vm.directory, `${vm.host}.runs`),
      ...options.extra?.(vm),
    }),
  });
  try {
    return await body(fleet);
  } finally {
    await stopFleet(fleet);
  }
}
