/**
 * Runs work with a signal that is aborted after `timeoutMs`. Rejects at that
 * time even if the work goes on: undici ignores the signal of a request until
 * the request has a connection. A request aborted before that is never sent.
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
