import type { IncomingMessage } from "node:http";
import type { Context } from "../context/context.ts";
import { bindKey } from "./bind_key.ts";
import type { Identity } from "./identity.ts";
import type { Relay } from "./relay.ts";
import type { Wanted } from "./wanted.ts";

const KEY = /^[\x21-\x7e]{1,200}$/;
const UNDECLARED = "undeclared";

/** A request that enters the system here. */
type Root = { request: IncomingMessage; wanted: Wanted; context: Context };

/**
 * Finds out how resends of a root request are recognized. One that is declared
 * as not idempotent needs an execution token or an `Idempotency-Key`.
 */
export function identify(
  relay: Relay,
  { request, wanted, context }: Root,
): Identity {
  const key = request.headers["idempotency-key"];
  const { rule, method, path } = wanted;
  if (key !== undefined && (typeof key !== "string" || !KEY.test(key))) {
    const outcome = { kind: "not-run", reason: "bad-request" } as const;
    return { ok: false, outcome, detail: "idempotency-key" };
  }
  if (rule.idempotent) return identity(false, null);
  if (context.token !== null) return identity(true, null);
  if (key !== undefined) {
    const scope = `${context.department} ${method} ${path} ${key}`;
    return identity(false, bindKey(relay, scope));
  }
  if (rule.name === UNDECLARED) return identity(false, null);
  return { ok: false, outcome: { kind: "not-run", reason: "token-required" } };
}

function identity(
  callerToken: boolean,
  binding: ReturnType<typeof bindKey> | null,
): Identity {
  return { ok: true, value: { callerToken, binding } };
}
