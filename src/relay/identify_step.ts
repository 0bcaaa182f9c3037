import type { IncomingMessage } from "node:http";
import { Header } from "../context/header.ts";
import { bindStep } from "./bind_step.ts";
import type { Identity } from "./identity.ts";
import type { Parent } from "./parent.ts";
import type { Relay } from "./relay.ts";
import type { Wanted } from "./wanted.ts";

/** A nested call of a request in progress. */
type Nested = { request: IncomingMessage; wanted: Wanted; parent: Parent };

/**
 * Finds out how resends of a nested call are recognized: by its step. Under a
 * parent that may be repeated there is nothing to recognize them by.
 */
export function identifyStep(
  relay: Relay,
  { request, wanted, parent }: Nested,
): Identity {
  if (wanted.rule.idempotent) {
    return { ok: true, value: { callerToken: false, binding: null } };
  }
  if (parent.context.token === null) return rejected("parent-repeatable");
  const step = request.headers[Header.step];
  if (typeof step !== "string") return rejected("token-required");
  const binding = bindStep(relay, { parent, step });
  return { ok: true, value: { callerToken: false, binding } };
}

function rejected(reason: "parent-repeatable" | "token-required"): Identity {
  return { ok: false, outcome: { kind: "not-run", reason } };
}
