/**
 * Runs work that ends early when its signal aborts, and rejects after
 * `timeoutMs` even if it does not: undici heeds the signal of a request only
 * once that has a connection. A request given up before is never sent.
 */
export async function withTimeout<Value>(
  timeoutMs: number,
  work: (signal: AbortSignal) => Promise<Value>,
): Promise<Value> {
  const controller = new AbortController();
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<never>((_, reject) => {
    timer = setTimeout(() => {
      const error = new Error(`Timed out after ${timeoutMs} ms`);
      controller.abort(error);
      reject(error);
    }, timeoutMs);
  });
  try {
    return await Promise.race([work(controller.signal), timeout]);
  } finally {
    clearTimeout(timer);
  }
}
