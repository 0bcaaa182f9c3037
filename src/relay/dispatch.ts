import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher, Pool } from "undici";
import type { Exchange } from "./exchange.ts";

// Lower ones are interim responses, which precede the response itself.
const FINAL_STATUS = 200;

/** One HTTP request to send. */
type OutgoingRequest = {
  method: string;
  path: string;
  headers: Record<string, string | string[]>;
  body: Buffer | null;
};

/** Callbacks for the progress of a request. */
type ResponseHandlers = {
  /** Called immediately before the first byte is written; false aborts. */
  begin(): boolean;
  start(status: number, headers: IncomingHttpHeaders): void;
  data(chunk: Buffer): boolean;
  end(): void;
  /** `sent` is false where no byte of the request was written. */
  fail(failure: { sent: boolean; error: Error }): void;
};

/**
 * Sends a request over a pool. After `cancel` no handler is called any more.
 */
export function dispatch(
  pool: Pool,
  request: OutgoingRequest,
  handlers: ResponseHandlers,
): Exchange {
  let controller: Dispatcher.DispatchController | null = null;
  let sent = false;
  let done = false;
  const abort = () => controller?.abort(new Error("Request was cancelled"));
  pool.dispatch(
    {
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: request.headers,
      body: request.body,
    },
    {
      onRequestStart(started) {
        controller = started;
        if (done) return abort();
        if (handlers.begin()) {
          sent = true;
          return;
        }
        done = true;
        abort();
      },
      onResponseStart(_controller, status, headers) {
        if (!done && status >= FINAL_STATUS) handlers.start(status, headers);
      },
      onResponseData(_controller, chunk) {
        if (!done && !handlers.data(chunk)) controller?.pause();
      },
      onResponseEnd() {
        if (done) return;
        done = true;
        handlers.end();
      },
      onResponseError(_controller, error) {
        if (done) return;
        done = true;
        handlers.fail({ sent, error });
      },
    },
  );
  return {
    cancel() {
      if (done) return;
      done = true;
      abort();
    },
    resume: () => controller?.resume(),
  };
}
