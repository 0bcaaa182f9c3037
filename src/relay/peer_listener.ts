import type { IncomingMessage, ServerResponse } from "node:http";
import { Header } from "../context/header.ts";
import { parseContext } from "../context/parse_context.ts";
import { endToEndHeaders } from "./end_to_end_headers.ts";
import { handleInbound } from "./inbound.ts";
import { httpReply } from "./http_reply.ts";
import { noFeedback } from "./no_feedback.ts";
import { readBody } from "./read_body.ts";
import type { Relay } from "./relay.ts";
import { serviceOf } from "./service_of.ts";

/** Handles an attempt that another daemon has sent. */
export function handlePeer(
  relay: Relay,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const context = parseContext(request.headers, relay.clock());
  const attemptId = context.ok ? context.value.attemptId : "";
  const reply = httpReply(response, { attemptId, feedback: true });
  const path = request.url ?? "/";
  const service = serviceOf(path);
  if (!context.ok || service === null) {
    relay.log("rejected", {
      reason: "bad-request",
      issue: context.ok ? "no service in path" : context.issues[0]?.message,
    });
    return reply.fail({ kind: "not-run", reason: "bad-request" }, noFeedback);
  }
  readBody(request, relay.limits.requestBody, (body) => {
    if (body.kind === "aborted") return;
    if (body.kind === "too-large") {
      return reply.fail({ kind: "not-run", reason: "too-large" }, noFeedback);
    }
    const tokensWanted = Number(request.headers[Header.tokensWanted] ?? 0);
    const exchange = handleInbound(relay, {
      context: context.value,
      service,
      method: request.method ?? "GET",
      path,
      headers: endToEndHeaders(request.headers),
      body: body.body,
      tokensWanted: Number.isInteger(tokensWanted) ? tokensWanted : 0,
    }, reply);
    reply.attach(exchange);
  });
}
