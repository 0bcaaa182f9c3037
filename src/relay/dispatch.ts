import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher, Pool } from "undici";
import type { Exchange } from "./exchange.ts";

/** One HTTP request to send. */
type OutgoingRequest = {
  method: string;
  path: string;
  headers: Record<string, string | string[]>;
  body: Buffer | null;
};

/** Receives what becomes of the request. */
type ResponseHandlers = {
  /** Called immediately before the first byte is written; false gives up. */
  begin(): boolean;
  start(status: number, headers: IncomingHttpHeaders): void;
  data(chunk: Buffer): boolean;
  end(): void;
  /** `sent` is false where no byte of the request was written. */
  fail(failure: { sent: boolean; error: Error }): void;
};

/** Sends a request over a pool; after `cancel` no event is called any more. */
export function dispatch(
  pool: Pool,
  message: OutgoingRequest,
  events: ResponseHandlers,
): Exchange {
  let controller: Dispatcher.DispatchController | null = null;
  let sent = false;
  let done = false;
  const abort = () => controller?.abort(new Error("Request was cancelled"));
  pool.dispatch(
    {
      method: message.method as Dispatcher.HttpMethod,
      path: message.path,
      headers: message.headers,
      body: message.body,
    },
    {
      onRequestStart(started) {
        controller = started;
        if (done) return abort();
        if (events.begin()) {
          sent = true;
          return;
        }
        done = true;
        abort();
      },
      onResponseStart(_controller, status, headers) {
        if (!done) events.start(status, headers);
      },
      onResponseData(_controller, chunk) {
        if (!done && !events.data(chunk)) controller?.pause();
      },
      onResponseEnd() {
        if (done) return;
        done = true;
        events.end();
      },
      onResponseError(_controller, error) {
        if (done) return;
        done = true;
        events.fail({ sent, error });
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
