import type { ServerResponse } from "node:http";
import { Header } from "../context/header.ts";
import { httpStatus } from "../outcomes/http_status.ts";
import type { Exchange } from "./exchange.ts";
import type { Feedback } from "./feedback.ts";
import { feedbackHeaders } from "./feedback_headers.ts";
import type { Reply } from "./reply.ts";

/** Options for writing a reply to HTTP. */
type Options = {
  /** Attempt id to echo. */
  attemptId: string;
  /** Whether the recipient is another daemon, which receives feedback. */
  feedback: boolean;
  /** Called once when nothing more will be written. */
  done?: () => void;
};

/**
 * Returns a reply that writes to an HTTP response. `attach` connects it to the
 * exchange, which is resumed once the response has drained and cancelled if the
 * recipient disconnects.
 */
export function httpReply(
  response: ServerResponse,
  options: Options,
): Reply & { attach(exchange: Exchange): void } {
  let exchange: Exchange | null = null;
  let finished = false;
  const finish = () => {
    finished = true;
    options.done?.();
  };
  const addFeedback = (
    headers: Record<string, string | string[]>,
    feedback: Feedback,
  ) => {
    headers[Header.attempt] = options.attemptId;
    if (options.feedback) feedbackHeaders(headers, feedback);
  };
  return {
    attach(attached) {
      exchange = attached;
      response.on("drain", () => exchange?.resume());
      response.on("close", () => {
        if (!finished) exchange?.cancel();
      });
    },
    start({ status, headers, feedback }) {
      const responseHeaders = { ...headers, [Header.outcome]: "answered" };
      addFeedback(responseHeaders, feedback);
      response.writeHead(status, responseHeaders);
    },
    data: (chunk) => response.write(chunk),
    end() {
      finish();
      response.end();
    },
    fail(outcome, feedback) {
      finish();
      if (response.headersSent) {
        // Destroyed, so that a truncated response does not look complete.
        response.destroy();
        return;
      }
      const headers: Record<string, string | string[]> = {
        [Header.outcome]: outcome.kind,
        "content-length": "0",
      };
      if (outcome.kind !== "answered") headers[Header.reason] = outcome.reason;
      addFeedback(headers, feedback);
      response.writeHead(httpStatus(outcome), headers);
      response.end();
    },
  };
}
