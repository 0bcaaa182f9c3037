import type { Pool } from "undici";
import type { Sample } from "../../fleet/sample.ts";
import { sendRequest } from "../../fleet/send_request.ts";
import { fetchToken } from "../../fleet/fetch_token.ts";

/** Concurrent requests, half of them views and half orders. */
type Burst = {
  pools: Pool[];
  prefix: string;
  count: number;
  /** Client timeout, in ms. */
  timeoutMs: number;
  /** Deadline sent with the request, in ms. */
  deadlineMs: number;
};

/** Result of a request as its caller saw it; `run` is its entry in the servers' journals. */
type Result = Pick<Sample, "result" | "reason"> & { run: string };

/** Sends each request of a burst once; orders carry an execution token. */
export function sendBurst(burst: Burst): Promise<Result[]> {
  return Promise.all(
    Array.from({ length: burst.count }, (_, number) => sendOne(burst, number)),
  );
}

async function sendOne(
  { pools, prefix, timeoutMs, deadlineMs }: Burst,
  number: number,
): Promise<Result> {
  // Two consecutive numbers share a pool, so that each pool gets views and orders.
  const pool = pools[(number >> 1) % pools.length]!;
  const key = `${prefix}-${number}`;
  const isOrder = number % 2 === 0;
  const path = isOrder ? "/front/order" : "/front/view/page";
  const headers: Record<string, string> = {
    "nutmegmoor-deadline": String(deadlineMs),
  };
  if (isOrder) {
    const token = await fetchToken(pool, path, timeoutMs);
    if (token !== null) headers["nutmegmoor-token"] = token;
  }
  const method = isOrder ? "POST" : "GET";
  const result = await sendRequest(pool, {
    method,
    path,
    key,
    headers,
    timeoutMs,
  });
  return { ...result, run: `${isOrder ? "/order" : "/view/*"} ${key}` };
}
