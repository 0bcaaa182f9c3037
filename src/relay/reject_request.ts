import type { ServerResponse } from "node:http";
import type { Outcome } from "../outcomes/outcome.ts";
import { count } from "../metrics/count.ts";
import { httpReply } from "./http_reply.ts";
import { noFeedback } from "./no_feedback.ts";
import type { Relay } from "./relay.ts";

/** A request that is rejected before it is forwarded. */
type Rejection = {
  side: "ingress" | "outbound" | "peer";
  outcome: Outcome;
  /** Cause of the rejection; never a value that the sender supplied. */
  detail?: string;
  /** Attempt id to echo, if the sender supplied a valid one. */
  attemptId?: string;
};

/** Counts, logs and answers a request that is not forwarded. */
export function rejectRequest(
  relay: Relay,
  response: ServerResponse,
  { side, outcome, detail, attemptId = "" }: Rejection,
): void {
  const reason = outcome.kind === "answered" ? "" : outcome.reason;
  count(relay.metrics, "rejected", { side, reason });
  relay.log("rejected", { side, outcome: outcome.kind, reason, detail });
  // The rest of the body is not read, so the connection cannot be reused.
  response.setHeader("connection", "close");
  httpReply(response, { attemptId, feedback: side === "peer" })
    .fail(outcome, noFeedback);
}
