import type { Outcome } from "../outcomes/outcome.ts";
import type { CachedResponse } from "./cached_response.ts";
import type { Execution } from "./execution.ts";
import type { Ledger } from "./ledger.ts";
import { responseSize } from "./response_size.ts";

const MAX_BODY_BYTES = 64 * 1024;

type OpenExecution = Extract<Execution, { state: "queued" | "running" }>;

/**
 * Replaces a queued or running execution by its result and passes that to the
 * resends that joined it.
 */
export function settleExecution(
  ledger: Ledger,
  { nonce, execution }: { nonce: string; execution: OpenExecution },
  result: CachedResponse | Outcome,
): void {
  ledger.executions.set(
    nonce,
    completedExecution(ledger, execution.expiresAt, result),
  );
  for (const waiter of execution.waiters) waiter(result);
}

function completedExecution(
  ledger: Ledger,
  expiresAt: number,
  result: CachedResponse | Outcome,
): Execution {
  if ("kind" in result) return { state: "ended", expiresAt, outcome: result };
  const size = responseSize(result);
  const fits = result.body.length <= MAX_BODY_BYTES &&
    ledger.cachedBytes + size <= ledger.maxCachedBytes;
  if (!fits) {
    const outcome: Outcome = { kind: "unknown", reason: "response-gone" };
    return { state: "ended", expiresAt, outcome };
  }
  ledger.cachedBytes += size;
  return { state: "finished", expiresAt, response: compact(result) };
}

/**
 * Copies a body that is a small part of a larger buffer: it would keep all of
 * the buffer alive.
 */
function compact(response: CachedResponse): CachedResponse {
  const { body } = response;
  if (body.buffer.byteLength <= 2 * body.length) return response;
  const copy = Buffer.alloc(body.length);
  body.copy(copy);
  return { ...response, body: copy };
}
