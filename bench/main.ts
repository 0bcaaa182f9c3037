import process from "node:process";

const BENCHES: Record<string, () => Promise<unknown>> = {
  latency: () => import("./latency.ts"),
  goodput: () => import("./goodput.ts"),
  recovery: () => import("./recovery.ts"),
};

const bench = BENCHES[process.argv[2] ?? ""];
if (bench === undefined) {
  console.error(`Usage: npm run bench -- ${Object.keys(BENCHES).join("|")}`);
  process.exitCode = 2;
} else await bench();
