import type { Outcome } from "../outcomes/outcome.ts";
import { countCall } from "./count_call.ts";
import type { Forwarding } from "./forwarding.ts";
import type { Relay } from "./relay.ts";

/**
 * Ends a call and records its outcome. Returns false if it had already ended.
 */
export function endForwarding(
  relay: Relay,
  forwarding: Forwarding,
  outcome: Outcome,
): boolean {
  if (forwarding.ended) return false;
  forwarding.ended = true;
  relay.open.delete(forwarding.open);
  countCall(relay, forwarding, outcome);
  return true;
}
