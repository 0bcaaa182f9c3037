// Compares the synchronous log writer of `debug` with the buffered one.
// Run: node --import=tsx bench/log_writer.ts
// Each mode runs in a process of its own whose standard error is a pipe that
// this process reads, as a log collector does.
import createDebug from "debug";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { createLogger } from "../src/core/create_logger.ts";
import { installLogWriter } from "../src/core/install_log_writer.ts";

const ROUNDS = 2_000;
const LINES_PER_ROUND = 50;
const WARMUP_ROUNDS = 200;
const FLUSH_MS = 50;

/** Logs in rounds with turns of the event loop between; prints ns per line. */
async function measure(mode: string): Promise<void> {
  if (mode === "buffered") installLogWriter({ flushMs: FLUSH_MS });
  createDebug.enable(mode === "disabled" ? "" : "nutmegmoor:*");
  const log = createLogger("bench");
  const samples: number[] = [];
  const cpu = process.cpuUsage();
  for (let round = 0; round < ROUNDS; round++) {
    const start = performance.now();
    for (let line = 0; line < LINES_PER_ROUND; line++) {
      log("choose", {
        request: "4f1f2a6c9d0e4b7a",
        service: "bookings",
        chosen: "127.0.1.2:7001",
        reason: "least-loaded",
        considered: "127.0.1.2:7001=0.41,127.0.1.3:7001=0.77",
      });
    }
    const perLineNs = (performance.now() - start) * 1e6 / LINES_PER_ROUND;
    if (round >= WARMUP_ROUNDS) samples.push(perLineNs);
    await new Promise((resolve) => setImmediate(resolve));
  }
  const { user, system } = process.cpuUsage(cpu);
  samples.sort((left, right) => left - right);
  const at = (share: number) =>
    Math.round(samples[Math.floor(samples.length * share)]!);
  const cpuNs = Math.round(
    (user + system) * 1000 / (ROUNDS * LINES_PER_ROUND),
  );
  console.log(
    `${mode.padEnd(12)} p50 ${at(0.5)} ns/line  p99 ${at(0.99)} ns/line  ` +
      `CPU ${cpuNs} ns/line`,
  );
}

async function measureAll(): Promise<void> {
  for (const mode of ["disabled", "synchronous", "buffered"]) {
    const child = spawn(
      process.execPath,
      ["--import=tsx", "bench/log_writer.ts", mode],
      { stdio: ["ignore", "inherit", "pipe"] },
    );
    let lines = 0;
    child.stderr.on("data", (chunk: Buffer) => {
      for (const byte of chunk) if (byte === 10) lines++;
    });
    await once(child, "close");
    console.log(`${mode.padEnd(12)} ${lines} lines arrived`);
  }
}

const mode = process.argv[2];
await (mode === undefined ? measureAll() : measure(mode));
