// Compares claims in the table service with execution tokens.
// Usage: node --expose-gc --import=tsx bench/at_most_once.ts [ADDRESS] [PORT]
import { randomUUID } from "node:crypto";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { setImmediate } from "node:timers/promises";
import { claimKey } from "../src/execution/claim_key.ts";
import { createLedger } from "../src/execution/create_ledger.ts";
import { sweepLedger } from "../src/execution/sweep_ledger.ts";
import { createTableService } from "../src/store/create_table_service.ts";
import { quantiles } from "./quantiles.ts";
import { runToken } from "./run_token.ts";
import { startProcess } from "./start_process.ts";

const REQUESTS = 3_000;
const CAPACITY_MS = 3_000;
const CLAIMERS = 16;
const OUTAGE_REQUESTS = 300;
const YIELD_EVERY = 64;
const PLATFORM_WRITES_PER_SECOND = 500;

const [address = "127.0.77.1", port = "9000"] = process.argv.slice(2);
const { child, line } = await startProcess("standin/table_service_main.ts", [
  address,
  port,
]);
process.once("exit", () => child.kill());
const endpoint = line.split(" ").at(-1)!;
const table = createTableService({
  endpoint,
  accessKey: "test",
  secretKey: "test",
  region: "local",
});

async function control(body: object): Promise<void> {
  const response = await fetch(`${endpoint}/-/control`, {
    method: "POST",
    body: JSON.stringify(body),
  });
  if (!response.ok) throw new Error("The control was refused");
}

async function claimRan(): Promise<boolean> {
  const key = randomUUID();
  const claim = { key, token: randomUUID() };
  return (await claimKey(table, claim, { expires: 0 })).kind === "token";
}

/** Tokens live in the process, so a ledger call is all there is to wait for. */
const ledger = createLedger("127.0.0.1:7001", { maxExecutions: Infinity });

let tokens = 0;

async function tokenRan(): Promise<boolean> {
  // Lets connections be served, as the event loop of a daemon does.
  if (++tokens % YIELD_EVERY === 0) await setImmediate();
  return runToken(ledger, performance.now());
}

type Way = { name: string; run: () => Promise<boolean> };
const ways: Way[] = [{ name: "claim", run: claimRan }, {
  name: "token",
  run: tokenRan,
}];

async function latency(run: () => Promise<boolean>, requests: number) {
  const durations: number[] = [];
  let ran = 0;
  for (let request = 0; request < requests; request++) {
    const start = performance.now();
    if (await run()) ran += 1;
    durations.push(performance.now() - start);
  }
  return `ran=${ran}/${requests} ${quantiles(durations)}`;
}

async function capacity(run: () => Promise<boolean>): Promise<string> {
  const start = performance.now();
  let ran = 0;
  const claimer = async () => {
    while (performance.now() - start < CAPACITY_MS) if (await run()) ran += 1;
  };
  await Promise.all(Array.from({ length: CLAIMERS }, claimer));
  return `${Math.round(1_000 * ran / (performance.now() - start))}/s`;
}

for (const { name, run } of ways) {
  await latency(run, REQUESTS);
  console.log(`latency ${name}: ${await latency(run, REQUESTS)}`);
  console.log(`capacity ${name}: ${await capacity(run)}`);
}
await control({ mode: "up", writesPerSecond: PLATFORM_WRITES_PER_SECOND });
for (const { name, run } of ways) {
  console.log(
    `capacity ${name}, table limited to ${PLATFORM_WRITES_PER_SECOND} ` +
      `writes/s: ${await capacity(run)}`,
  );
}
const phases = [
  { mode: "up" },
  { mode: "down" },
  { mode: "slow", delayMs: 50 },
  { mode: "lose-response" },
  { mode: "up" },
];
for (const phase of phases) {
  await control(phase);
  for (const { name, run } of ways) {
    const { mode } = phase;
    console.log(`${mode} ${name}: ${await latency(run, OUTAGE_REQUESTS)}`);
  }
}
child.kill();
await table.close();

ledger.executions.clear();
ledger.cachedBytes = 0;
for (const kept of [true, false]) {
  const bytes = kept ? undefined : 0;
  const full = createLedger("127.0.0.1:7001", { maxCachedBytes: bytes });
  globalThis.gc?.();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  while (runToken(full, 0));
  globalThis.gc?.();
  const after = process.memoryUsage();
  const used = after.heapUsed + after.arrayBuffers - heapUsed - arrayBuffers;
  const sweeps: number[] = [];
  while (full.executions.size > 0) {
    const start = performance.now();
    sweepLedger(full, 1_000_000);
    sweeps.push(performance.now() - start);
  }
  console.log(
    `memory, ${kept ? "responses kept" : "no responses kept"}: ` +
      `${full.maxExecutions} executions, ${(used / 1e6).toFixed(1)} MB ` +
      `(gc ${globalThis.gc ? "forced" : "not forced"}), ` +
      `${sweeps.length} sweeps ${quantiles(sweeps)} ` +
      `max=${Math.max(...sweeps).toFixed(2)}ms`,
  );
}
