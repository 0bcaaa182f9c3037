import { Pool } from "undici";
import type { Random } from "../src/core/random.ts";
import type { Deployment } from "../deployments/deployment.ts";
import type { Sample } from "./sample.ts";
import { sendRequest } from "./send_request.ts";
import { fetchToken } from "./fetch_token.ts";

/** An open-loop load: arrivals do not wait for responses. */
type Load = {
  /** Ingress listeners as `host:port`, used in round-robin order. */
  targets: string[];
  traffic: Deployment["traffic"];
  /** Arrivals per second at a time in ms from the start. */
  rate: (at: number) => number;
  durationMs: number;
  /** Maximum number of resends after results other than `good`. */
  resends: number;
  timeoutMs: number;
  random: Random;
  /** Prefix of the keys of this load's requests. */
  prefix: string;
};

const STEP_MS = 5;
/** Source addresses of the callers; several, since resends are limited per caller. */
const CALLERS = ["127.0.0.11", "127.0.0.12", "127.0.0.13", "127.0.0.14"];
const CONNECTIONS = 2_000;
const FAILED = { result: "failed", reason: "" } as const;

/** Generates a load and returns a sample for each request. */
export async function runLoad(load: Load): Promise<Sample[]> {
  const pools = load.targets.flatMap((target) =>
    CALLERS.map((caller) => createPool(target, caller, load))
  );
  const running: Promise<Sample>[] = [];
  const start = performance.now();
  let due = 0;
  let previousAt = 0;
  while (performance.now() - start < load.durationMs) {
    const at = performance.now() - start;
    // Computed from the elapsed time, since timers fire late in a busy process.
    due += load.rate(at) * (at - previousAt) / 1000;
    previousAt = at;
    while (running.length < due) {
      const pool = pools[running.length % pools.length]!;
      running.push(runOne(load, pool, { at, number: running.length }));
    }
    const wait = STEP_MS - (performance.now() - start - at);
    await new Promise((resolve) => setTimeout(resolve, Math.max(0, wait)));
  }
  const samples = await Promise.all(running);
  await Promise.all(pools.map((pool) => pool.destroy()));
  return samples;
}

function createPool(target: string, caller: string, load: Load): Pool {
  const count = load.targets.length * CALLERS.length;
  return new Pool(`http://${target}`, {
    connections: Math.ceil(CONNECTIONS / count),
    connect: { localAddress: caller },
  });
}

async function runOne(
  load: Load,
  pool: Pool,
  { at, number }: { at: number; number: number },
): Promise<Sample> {
  const kind = pickRequestKind(load);
  const key = `${load.prefix}-${number}`;
  const startedAt = performance.now();
  let sends = 0;
  let firstOutcome: string | null = null;
  let last: Pick<Sample, "result" | "reason"> = FAILED;
  let token: string | null = null;
  while (sends <= load.resends) {
    sends += 1;
    const headers: Record<string, string> = { "nutmegmoor-request": key };
    if (kind.method !== "GET") {
      // A new token is safe only if the request was not run under the last one.
      if (token === null || last.result === "not-run") {
        token = await fetchToken(pool, kind.path, load.timeoutMs);
      }
      if (token !== null) headers["nutmegmoor-token"] = token;
    }
    const { method, path } = kind;
    const { timeoutMs } = load;
    last = await sendRequest(pool, { method, path, key, headers, timeoutMs });
    firstOutcome ??= `${last.result} ${last.reason}`;
    if (last.result === "good") break;
  }
  return {
    name: kind.name,
    importance: kind.importance,
    key,
    at,
    latencyMs: performance.now() - startedAt,
    sends,
    firstOutcome: firstOutcome ?? "",
    ...last,
  };
}

function pickRequestKind(
  { traffic, random }: Load,
): Deployment["traffic"][number] {
  let remainder = random();
  for (const kind of traffic) {
    remainder -= kind.share;
    if (remainder < 0) return kind;
  }
  return traffic[traffic.length - 1]!;
}
