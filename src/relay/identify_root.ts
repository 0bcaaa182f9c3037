import type { IncomingMessage } from "node:http";
import type { Context } from "../context/context.ts";
import { bindIdempotencyKey } from "./bind_idempotency_key.ts";
import type { RequestIdentity } from "./request_identity.ts";
import type { Relay } from "./relay.ts";
import type { ResolvedRequest } from "./resolved_request.ts";

const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,200}$/;
/** Name of the rule that `findRule` returns where no rule matches. */
const UNDECLARED_RULE = "undeclared";

/** A request without a known parent. */
type RootRequest = {
  request: IncomingMessage;
  resolved: ResolvedRequest;
  context: Context;
};

/**
 * Determines how resends of a root request are recognized. A request that its
 * rule declares not idempotent needs an execution token or an
 * `Idempotency-Key`.
 */
export function identifyRoot(
  relay: Relay,
  { request, resolved, context }: RootRequest,
): RequestIdentity {
  const key = request.headers["idempotency-key"];
  const { rule, method, path } = resolved;
  if (
    key !== undefined && (typeof key !== "string" || !IDEMPOTENCY_KEY.test(key))
  ) {
    const outcome = { kind: "not-run", reason: "bad-request" } as const;
    return { ok: false, outcome, detail: "idempotency-key" };
  }
  if (rule.idempotent) return identified(false, null);
  if (context.token !== null) return identified(true, null);
  if (key !== undefined) {
    const scope = `${context.department} ${method} ${path} ${key}`;
    return identified(false, bindIdempotencyKey(relay, scope));
  }
  if (rule.name === UNDECLARED_RULE) return identified(false, null);
  return { ok: false, outcome: { kind: "not-run", reason: "token-required" } };
}

function identified(
  hasCallerToken: boolean,
  binding: ReturnType<typeof bindIdempotencyKey> | null,
): RequestIdentity {
  return { ok: true, value: { hasCallerToken, binding } };
}
