import type { IncomingMessage, ServerResponse } from "node:http";
import type { Outcome } from "../outcomes/outcome.ts";
import { openAccount } from "../retries/open_account.ts";
import { callRequest } from "./call_request.ts";
import { endToEndHeaders } from "./end_to_end_headers.ts";
import { forward } from "./forward.ts";
import { httpReply } from "./http_reply.ts";
import { noFeedback } from "./no_feedback.ts";
import { readBody } from "./read_body.ts";
import type { Relay } from "./relay.ts";
import { rootContext } from "./root_context.ts";

/** Handles a request of an outside caller. */
export function handleIngress(
  relay: Relay,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const reject = (reason: RejectReason, detail?: string) => {
    relay.log("rejected", { side: "ingress", reason, detail });
    const outcome: Outcome = { kind: "not-run", reason };
    httpReply(response, { attemptId: "", feedback: false })
      .fail(outcome, noFeedback);
  };
  const wanted = callRequest(relay, request);
  if (wanted === null) return reject("unknown-service");
  const context = rootContext(relay, request.headers, wanted.rule);
  if (!context.ok) return reject("bad-request", context.header);
  readBody(request, relay.limits.requestBody, (body) => {
    if (body.kind === "aborted") return;
    if (body.kind === "too-large") return reject("too-large");
    const { attemptId } = context.value;
    const reply = httpReply(response, { attemptId, feedback: false });
    reply.attach(forward(relay, {
      ...wanted,
      context: context.value,
      headers: endToEndHeaders(request.headers),
      body: body.body,
      account: openAccount(wanted.rule.retries),
      callerToken: context.value.token !== null,
      overloadedBelow: () => {},
    }, reply));
  });
}

type RejectReason = "unknown-service" | "bad-request" | "too-large";
