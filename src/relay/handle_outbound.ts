import type { IncomingMessage, ServerResponse } from "node:http";
import { Header } from "../context/header.ts";
import type { Context } from "../context/context.ts";
import type { Outcome } from "../outcomes/outcome.ts";
import { openAccount } from "../retries/open_account.ts";
import type { Call } from "./call.ts";
import { resolveRequest } from "./resolve_request.ts";
import { endToEndHeaders } from "./end_to_end_headers.ts";
import { addNestedCall } from "./add_nested_call.ts";
import type { Exchange } from "./exchange.ts";
import { forward } from "./forward.ts";
import { httpReply } from "./http_reply.ts";
import { identifyRoot } from "./identify_root.ts";
import { identifyNested } from "./identify_nested.ts";
import { removeNestedCall } from "./remove_nested_call.ts";
import { nextId } from "./next_id.ts";
import type { Parent } from "./parent.ts";
import { readBody } from "./read_body.ts";
import { rejectRequest } from "./reject_request.ts";
import type { Relay } from "./relay.ts";
import { rootContext } from "./root_context.ts";

/** Handles a nested call of the local backend server. */
export function handleOutbound(
  relay: Relay,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const reject = (outcome: Outcome, detail?: string) =>
    rejectRequest(relay, response, { side: "outbound", outcome, detail });
  const resolved = resolveRequest(relay, request);
  if (resolved === null) return reject(notRun("unknown-service"));
  const root = rootContext(relay, request.headers, resolved.rule);
  if (!root.ok) return reject(notRun("bad-request"), root.header);
  const parent = relay.parents.get(String(request.headers[Header.parent]));
  const identity = parent === undefined
    ? identifyRoot(relay, { request, resolved, context: root.value })
    : identifyNested(relay, { request, resolved, parent });
  if (!identity.ok) return reject(identity.outcome, identity.detail);
  readBody(request, relay.limits.requestBody, (body) => {
    if (body.kind === "aborted") return;
    if (body.kind === "too-large") return reject(notRun("too-large"));
    const base = {
      ...resolved,
      headers: endToEndHeaders(request.headers),
      body: body.body,
      ...identity.value,
    };
    const call = parent === undefined
      ? rootCall(base, root.value)
      : nestedCall(relay, { base, parent, own: root.value });
    forwardNested(relay, { call, parent }, response);
  });
}

function notRun(
  reason: "unknown-service" | "bad-request" | "too-large",
): Outcome {
  return { kind: "not-run", reason };
}

type CallBase = Omit<Call, "context" | "account" | "onDownstreamOverload">;

/** A call without a known parent becomes a root request without retries. */
function rootCall(base: CallBase, context: Context): Call {
  const account = openAccount(0);
  const onDownstreamOverload = () => {};
  return { ...base, context, account, onDownstreamOverload };
}

function nestedCall(
  relay: Relay,
  { base, parent, own: requested }: {
    base: CallBase;
    parent: Parent;
    own: Context;
  },
): Call {
  return {
    ...base,
    context: {
      ...parent.context,
      attemptId: nextId(relay),
      deadlineAt: Math.min(parent.context.deadlineAt, requested.deadlineAt),
      token: null,
    },
    account: parent.account,
    onDownstreamOverload: () => {
      parent.downstreamOverload = true;
    },
  };
}

function forwardNested(
  relay: Relay,
  { call, parent }: { call: Call; parent: Parent | undefined },
  response: ServerResponse,
): void {
  const { attemptId } = call.context;
  let child: Exchange | null = null;
  let finished = false;
  const reply = httpReply(response, {
    attemptId,
    feedback: false,
    done() {
      finished = true;
      if (child === null || parent === undefined) return;
      removeNestedCall(parent, child, relay.clock());
    },
  });
  const exchange = forward(relay, call, reply);
  reply.attach(exchange);
  if (finished || parent === undefined) return;
  child = {
    ...exchange,
    cancel() {
      exchange.cancel();
      response.destroy();
    },
  };
  addNestedCall(parent, child, relay.clock());
}
