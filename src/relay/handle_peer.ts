import type { IncomingMessage, ServerResponse } from "node:http";
import { Header } from "../context/header.ts";
import { parseContext } from "../context/parse_context.ts";
import type { Outcome } from "../outcomes/outcome.ts";
import { endToEndHeaders } from "./end_to_end_headers.ts";
import { handleInbound } from "./handle_inbound.ts";
import { httpReply } from "./http_reply.ts";
import { readBody } from "./read_body.ts";
import { rejectRequest } from "./reject_request.ts";
import type { Relay } from "./relay.ts";
import { serviceOf } from "./service_of.ts";

const ATTEMPT_ID = /^[\w.:-]{1,128}$/;

/** Handles an attempt that another daemon has sent. */
export function handlePeer(
  relay: Relay,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const context = parseContext(request.headers, relay.clock());
  const path = request.url ?? "/";
  const service = serviceOf(path);
  const reject = (reason: "bad-request" | "too-large", detail?: string) => {
    const outcome: Outcome = { kind: "not-run", reason };
    // Without its attempt id, the sender would report a mismatched response.
    const given = request.headers[Header.attempt];
    const attemptId = typeof given === "string" && ATTEMPT_ID.test(given)
      ? given
      : "";
    const rejection = { side: "peer", outcome, detail, attemptId } as const;
    rejectRequest(relay, response, rejection);
  };
  if (!context.ok) return reject("bad-request", context.issues[0]?.message);
  if (service === null) return reject("bad-request", "No service in the path");
  const { attemptId } = context.value;
  const reply = httpReply(response, { attemptId, feedback: true });
  readBody(request, relay.limits.requestBody, (body) => {
    if (body.kind === "aborted") return;
    if (body.kind === "too-large") return reject("too-large");
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
