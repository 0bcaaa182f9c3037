import type { IncomingMessage } from "node:http";
import { Header } from "../context/header.ts";
import { bindStep } from "./bind_step.ts";
import type { RequestIdentity } from "./request_identity.ts";
import type { Parent } from "./parent.ts";
import type { Relay } from "./relay.ts";
import type { ResolvedRequest } from "./resolved_request.ts";

/** A nested call of a request in progress. */
type NestedRequest = {
  request: IncomingMessage;
  resolved: ResolvedRequest;
  parent: Parent;
};

/**
 * Determines how resends of a nested call are recognized: by its step. A parent
 * without an execution token may itself be repeated, and the calls of its
 * second run could not be recognized.
 */
export function identifyNested(
  relay: Relay,
  { request, resolved, parent }: NestedRequest,
): RequestIdentity {
  if (resolved.rule.idempotent) {
    return { ok: true, value: { hasCallerToken: false, binding: null } };
  }
  if (parent.context.token === null) return rejected("parent-repeatable");
  const step = request.headers[Header.step];
  if (typeof step !== "string") return rejected("token-required");
  const binding = bindStep(relay, { parent, step });
  return { ok: true, value: { hasCallerToken: false, binding } };
}

function rejected(
  reason: "parent-repeatable" | "token-required",
): RequestIdentity {
  return { ok: false, outcome: { kind: "not-run", reason } };
}
