import { execFileSync } from "node:child_process";
import process from "node:process";
import type { Fleet } from "../fleet/fleet.ts";
import { startFleet } from "../fleet/start_fleet.ts";
import { stopFleet } from "../fleet/stop_fleet.ts";
import { acquireTestLock } from "./acquire_test_lock.ts";

type Options = Omit<Parameters<typeof startFleet>[0], "program"> & {
  /** Whether `setFaults` can inject faults into the daemons. */
  switchable?: boolean;
};

const PROGRAM = "dist/nutmegmoor.cjs";
const SWITCHABLE = ["--import=tsx", "--import=./test/fault_switch.ts", PROGRAM];

/** Runs a test with a fleet and stops all of its processes afterwards. */
export async function withFleet(
  { switchable = false, ...options }: Options,
  work: (fleet: Fleet) => Promise<void>,
): Promise<void> {
  const release = await acquireTestLock();
  try {
    execFileSync(process.execPath, ["scripts/build.mjs"]);
    const program = switchable ? SWITCHABLE : [PROGRAM];
    const fleet = await startFleet({ ...options, program });
    try {
      await work(fleet);
    } finally {
      await stopFleet(fleet);
    }
  } finally {
    release();
  }
}
