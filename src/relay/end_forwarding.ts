import type { Outcome } from "../outcomes/outcome.ts";
import { countCall } from "./count_call.ts";
import type { Forwarding } from "./forwarding.ts";
import type { Relay } from "./relay.ts";

/** Ends a call with its outcome. Returns false where it had ended. */
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
