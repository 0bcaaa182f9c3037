import type { Pool } from "undici";
import type { Sample } from "../../fleet/sample.ts";
import { sendRequest } from "../../fleet/send_request.ts";
import { fetchToken } from "../../fleet/fetch_token.ts";

/** Orders sent all at once by callers that send again until one is good. */
type Orders = {
  /** The resend of a request goes to the next ingress listener. */
  pools: Pool[];
  prefix: string;
  count: number;
  sends: number;
  /** How long a caller waits, in ms. */
  timeoutMs: number;
  /** Deadline that a caller gives, in ms. */
  deadlineMs: number;
  /** What callers remember of their orders, for sending them again later. */
  memory: Map<string, { token: string | null; last: Result }>;
  /** Whether callers use an `Idempotency-Key` in place of a token. */
  byKey?: boolean;
};

type Result = Pick<Sample, "result" | "reason">;

/** Places orders as `docs/callers.md` asks; returns each caller's last result. */
export function placeOrders(orders: Orders): Promise<Result[]> {
  return Promise.all(
    Array.from({ length: orders.count }, (_, number) => place(orders, number)),
  );
}

async function place(orders: Orders, number: number): Promise<Result> {
  const { pools, memory, sends } = orders;
  const key = `${orders.prefix}-${number}`;
  const known = memory.get(key) ??
    { token: null, last: { result: "not-run", reason: "" } };
  memory.set(key, known);
  for (let send = 0; send < sends && known.last.result !== "good"; send++) {
    await sendOnce(orders, { pool: pools[send % pools.length]!, key, known });
  }
  return known.last;
}

async function sendOnce(
  { deadlineMs, timeoutMs, byKey }: Orders,
  { pool, key, known }: {
    pool: Pool;
    key: string;
    known: { token: string | null; last: Result };
  },
): Promise<void> {
  const path = "/front/order";
  const headers: Record<string, string> = {
    "nutmegmoor-deadline": String(deadlineMs),
  };
  if (byKey) headers["idempotency-key"] = key;
  else {
    // Only a token that was certainly not run may be replaced.
    if (known.last.result === "not-run") {
      known.token = await fetchToken(pool, path, timeoutMs);
    }
    if (known.token === null) return;
    headers["nutmegmoor-token"] = known.token;
  }
  const send = { method: "POST", path, key, headers, timeoutMs };
  known.last = await sendRequest(pool, send);
}
