import { execFileSync } from "node:child_process";
import process from "node:process";
import { bundle } from "./bundle.ts";
import { PLAN } from "./plan.ts";
import { writeState } from "./write_state.ts";

const PROGRAM = "bench/capacity/daemon_memory.ts";
const SIZES = [1, 1_000, 5_000, 14_000];
/** Set by `v8.setFlagsFromString` when the process starts. */
const RUNTIME_FLAGS = [
  "--max-semi-space-size=2",
  "--semi-space-growth-factor=1",
  "--optimize-for-size",
  "--max-old-space-size=64",
];
/** Given to node on its command line. */
const NODE_FLAGS = [
  "--max-semi-space-size=1",
  "--max-semi-space-size=2",
  "--max-semi-space-size=4",
  "--optimize-for-size",
  "--max-old-space-size=64",
];

/** Prints the memory of processes that hold the state of one daemon. */
export async function measureMemory(): Promise<void> {
  const state = writeState();
  const file = await bundle(PROGRAM);
  const start = (node: string[], size: number, flags: string[] = []) => {
    const args = [...node, state, String(size), ...flags];
    const text = execFileSync(process.execPath, args).toString();
    const program = node.at(-1) === file ? "bundle" : "modules";
    const options = [
      ...node.slice(0, -1),
      ...flags.map((flag) => `set ${flag}`),
    ];
    process.stdout.write(`${program} ${options.join(" ")}\n${text}`);
  };
  start(["--import=tsx", PROGRAM], PLAN.daemons);
  for (const size of SIZES) start([file], size);
  for (const flag of RUNTIME_FLAGS) start([file], PLAN.daemons, [flag]);
  for (const flag of NODE_FLAGS) start([flag, file], PLAN.daemons);
}
