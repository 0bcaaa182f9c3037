import type { Dispatcher } from "undici";
import type { PlatformRequest } from "./platform_request.ts";
import type { Reply } from "./reply.ts";

/**
 * Sends one request and collects the response. The timeout in ms covers the
 * wait for a connection as well as the whole response.
 */
export function send(
  dispatcher: Dispatcher,
  request: PlatformRequest,
  { timeoutMs, maxBytes }: { timeoutMs: number; maxBytes: number },
): Promise<Reply> {
  return new Promise((resolve) => {
    let controller: Dispatcher.DispatchController | null = null;
    let settled = false;
    let status = 0;
    let size = 0;
    const chunks: Buffer[] = [];
    const timer = setTimeout(() => fail("The request timed out"), timeoutMs);

    function settle(reply: Reply): void {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      resolve(reply);
    }

    function fail(message: string): void {
      settle({ kind: controller ? "no-response" : "not-sent", message });
      controller?.abort(new Error(message));
    }

    dispatcher.dispatch(request, {
      // undici calls this when a connection is ready, before the first byte.
      // A request that has been reported as not sent must not be sent anymore.
      onRequestStart(started) {
        if (settled) return started.abort(new Error("The request timed out"));
        controller = started;
      },
      onResponseStart(_controller, statusCode) {
        status = statusCode;
      },
      onResponseData(_controller, chunk) {
        size += chunk.length;
        if (size > maxBytes) return fail("The response is too large");
        chunks.push(chunk);
      },
      onResponseEnd() {
        settle({ kind: "response", status, body: Buffer.concat(chunks) });
      },
      onResponseError(_controller, error) {
        fail(error.message || error.name);
      },
    });
  });
}
