import type { Pool } from "undici";
import type { Sample } from "../../fleet/sample.ts";
import { sendRequest } from "../../fleet/send_request.ts";
import { fetchToken } from "../../fleet/fetch_token.ts";

/** Concurrent orders; each caller resends its order until it succeeds. */
type Orders = {
  /** Ingress listeners; each resend goes to the next one. */
  pools: Pool[];
  prefix: string;
  count: number;
  sends: number;
  /** Client timeout, in ms. */
  timeoutMs: number;
  /** Deadline sent with the request, in ms. */
  deadlineMs: number;
  /** State of each order by key, so that later calls can resend it. */
  memory: Map<string, { token: string | null; last: Result }>;
  /** Whether callers use an `Idempotency-Key` instead of a token. */
  byKey?: boolean;
};

type Result = Pick<Sample, "result" | "reason">;

/** Places orders as `docs/callers.md` prescribes; returns each caller's last result. */
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
    // A new token is safe only if the order was not run under the last one.
    if (known.last.result === "not-run") {
      known.token = await fetchToken(pool, path, timeoutMs);
    }
    if (known.token === null) return;
    headers["nutmegmoor-token"] = known.token;
  }
  const send = { method: "POST", path, key, headers, timeoutMs };
  known.last = await sendRequest(pool, send);
}
