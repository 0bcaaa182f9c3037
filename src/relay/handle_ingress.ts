import type { IncomingMessage, ServerResponse } from "node:http";
import type { Context } from "../context/context.ts";
import { Header } from "../context/header.ts";
import type { Outcome } from "../outcomes/outcome.ts";
import { classifySend } from "../retries/classify_send.ts";
import { openAccount } from "../retries/open_account.ts";
import { resolveRequest } from "./resolve_request.ts";
import { endToEndHeaders } from "./end_to_end_headers.ts";
import { forward } from "./forward.ts";
import { identifyRoot } from "./identify_root.ts";
import { httpReply } from "./http_reply.ts";
import { readBody } from "./read_body.ts";
import { rejectRequest } from "./reject_request.ts";
import type { Relay } from "./relay.ts";
import { rootContext } from "./root_context.ts";

/** Handles a request of a caller outside the fleet. */
export function handleIngress(
  relay: Relay,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const reject = (outcome: Outcome, detail?: string) =>
    rejectRequest(relay, response, { side: "ingress", outcome, detail });
  const resolved = resolveRequest(relay, request);
  if (resolved === null) return reject(notRun("unknown-service"));
  const root = rootContext(relay, request.headers, resolved.rule);
  if (!root.ok) return reject(notRun("bad-request"), root.header);
  const context = root.value;
  const identity = identifyRoot(relay, { request, resolved, context });
  if (!identity.ok) return reject(identity.outcome, identity.detail);
  const resend = classifyResend(relay, request, context);
  if (resend === "denied") {
    // An earlier send of the same request may have run.
    return reject({ kind: "unknown", reason: "resend-limit" });
  }
  readBody(request, relay.limits.requestBody, (body) => {
    if (body.kind === "aborted") return;
    if (body.kind === "too-large") return reject(notRun("too-large"));
    const { attemptId } = context;
    const reply = httpReply(response, { attemptId, feedback: false });
    reply.attach(forward(relay, {
      ...resolved,
      context,
      headers: endToEndHeaders(request.headers),
      body: body.body,
      account: openAccount(resend === "yes" ? 0 : resolved.rule.retries),
      ...identity.value,
      onDownstreamOverload: () => {},
    }, reply));
  });
}

/**
 * Classifies a request by its request id as a first send or a resend. A resend
 * gets no retries and is denied once its caller's resend limit is reached.
 */
function classifyResend(
  relay: Relay,
  request: IncomingMessage,
  context: Context,
): "no" | "yes" | "denied" {
  const requestId = request.headers[Header.request];
  if (typeof requestId !== "string") return "no";
  const { department, importance } = context;
  // Separate limits per department and importance: resends of unimportant
  // requests must not use up those of critical ones.
  const address = request.socket.remoteAddress;
  const caller = `${address} ${department} ${importance}`;
  const sendKind = classifySend(
    relay.resends,
    { caller, requestId },
    relay.clock(),
  );
  return RESEND_VERDICT[sendKind];
}

const RESEND_VERDICT = {
  first: "no",
  resend: "yes",
  denied: "denied",
} as const;

function notRun(
  reason: "unknown-service" | "bad-request" | "too-large",
): Outcome {
  return { kind: "not-run", reason };
}
