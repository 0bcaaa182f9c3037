import type { Pool } from "undici";
import type { Sample } from "../../fleet/sample.ts";
import { sendRequest } from "../../fleet/send_request.ts";
import { fetchToken } from "../../fleet/fetch_token.ts";

/** Requests sent all at once, half of them views and half orders. */
type Burst = {
  pools: Pool[];
  prefix: string;
  count: number;
  /** How long a caller waits, in ms. */
  timeoutMs: number;
  /** Deadline that a caller gives, in ms. */
  deadlineMs: number;
};

/** One request and what its caller was told. */
type Told = Pick<Sample, "result" | "reason"> & { run: string };

/** Sends a burst; each request once, orders with an execution token. */
export function sendBurst(burst: Burst): Promise<Told[]> {
  return Promise.all(
    Array.from({ length: burst.count }, (_, number) => sendOne(burst, number)),
  );
}

async function sendOne(
  { pools, prefix, timeoutMs, deadlineMs }: Burst,
  number: number,
): Promise<Told> {
  // Each pool gets views and orders alike.
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
  const told = await sendRequest(pool, {
    method,
    path,
    key,
    headers,
    timeoutMs,
  });
  return { ...told, run: `${isOrder ? "/order" : "/view/*"} ${key}` };
}
