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
 * Finds out how resends of a nested call are recognized: by its step. Under a
 * parent that may be repeated there is nothing to recognize them by.
 */
export function identifyNested(
  relay: Relay,
  { request, resolved: wanted, parent }: NestedRequest,
): RequestIdentity {
  if (wanted.rule.idempotent) {
    return { ok: true, value: { callerToken: false, binding: null } };
  }
  if (parent.context.token === null) return rejected("parent-repeatable");
  const step = request.headers[Header.step];
  if (typeof step !== "string") return rejected("token-required");
  const binding = bindStep(relay, { parent, step });
  return { ok: true, value: { callerToken: false, binding } };
}

function rejected(
  reason: "parent-repeatable" | "token-required",
): RequestIdentity {
  return { ok: false, outcome: { kind: "not-run", reason } };
}
