import type { IncomingMessage, ServerResponse } from "node:http";
import { Header } from "../context/header.ts";
import type { Context } from "../context/context.ts";
import type { Outcome } from "../outcomes/outcome.ts";
import { openAccount } from "../retries/open_account.ts";
import type { Call } from "./call.ts";
import { callRequest } from "./call_request.ts";
import { endToEndHeaders } from "./end_to_end_headers.ts";
import type { Exchange } from "./exchange.ts";
import { forward } from "./forward.ts";
import { httpReply } from "./http_reply.ts";
import { nextId } from "./next_id.ts";
import { noFeedback } from "./no_feedback.ts";
import type { Parent } from "./parent.ts";
import { readBody } from "./read_body.ts";
import type { Relay } from "./relay.ts";
import { rootContext } from "./root_context.ts";

/** Handles a nested call of the own backend server. */
export function handleOutbound(
  relay: Relay,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const reject = (reason: RejectReason, detail?: string) => {
    relay.log("rejected", { side: "outbound", reason, detail });
    const outcome: Outcome = { kind: "not-run", reason };
    httpReply(response, { attemptId: "", feedback: false })
      .fail(outcome, noFeedback);
  };
  const wanted = callRequest(relay, request);
  if (wanted === null) return reject("unknown-service");
  const root = rootContext(relay, request.headers, wanted.rule);
  if (!root.ok) return reject("bad-request", root.header);
  const parent = relay.parents.get(String(request.headers[Header.parent]));
  const repeatable = parent !== undefined && parent.context.token === null;
  if (!wanted.rule.idempotent && repeatable) {
    return reject("parent-repeatable");
  }
  readBody(request, relay.limits.requestBody, (body) => {
    if (body.kind === "aborted") return;
    if (body.kind === "too-large") return reject("too-large");
    const base = {
      ...wanted,
      headers: endToEndHeaders(request.headers),
      body: body.body,
      callerToken: false,
    };
    const { attemptId } = root.value;
    if (parent === undefined) {
      // Without a known parent the call is a new root, and has no retries.
      const reply = httpReply(response, { attemptId, feedback: false });
      const account = openAccount(0);
      const context = root.value;
      const overloadedBelow = () => {};
      const call = { ...base, context, account, overloadedBelow };
      return reply.attach(forward(relay, call, reply));
    }
    const context = nestedContext(relay, parent, root.value);
    forwardNested(relay, parent, { ...base, context }, response);
  });
}

type RejectReason =
  | "unknown-service"
  | "bad-request"
  | "too-large"
  | "parent-repeatable";

function nestedContext(relay: Relay, parent: Parent, own: Context): Context {
  return {
    ...parent.context,
    attemptId: nextId(relay),
    deadlineAt: Math.min(parent.context.deadlineAt, own.deadlineAt),
    token: null,
  };
}

function forwardNested(
  relay: Relay,
  parent: Parent,
  base: Omit<Call, "account" | "overloadedBelow">,
  response: ServerResponse,
): void {
  const { attemptId } = base.context;
  let child: Exchange | null = null;
  let finished = false;
  const reply = httpReply(response, {
    attemptId,
    feedback: false,
    done() {
      finished = true;
      if (child !== null) parent.children.delete(child);
    },
  });
  const exchange = forward(relay, {
    ...base,
    account: parent.account,
    overloadedBelow: () => {
      parent.overloadedBelow = true;
    },
  }, reply);
  reply.attach(exchange);
  if (finished) return;
  child = {
    ...exchange,
    cancel() {
      exchange.cancel();
      response.destroy();
    },
  };
  parent.children.add(child);
}
