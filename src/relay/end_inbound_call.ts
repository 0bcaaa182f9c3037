import { finish } from "../admission/finish.ts";
import { finishExecution } from "../execution/finish_execution.ts";
import { revokeToken } from "../execution/revoke_token.ts";
import type { Outcome } from "../outcomes/outcome.ts";
import type { InboundCall } from "./inbound_call.ts";
import type { Parent } from "./parent.ts";
import type { Relay } from "./relay.ts";
import { applyQueueDecision } from "./apply_queue_decision.ts";

/**
 * Ends an inbound call and releases its slot, nested calls and execution.
 * Returns false if it had already ended.
 */
export function endInboundCall(
  relay: Relay,
  call: InboundCall,
  outcome: Outcome,
): boolean {
  if (call.phase === "ended") return false;
  const heldSlot = call.phase === "running";
  call.phase = "ended";
  relay.open.delete(call.open);
  relay.parents.delete(call.attempt.context.attemptId);
  const nestedMs = nestedTime(call.parent, relay.clock());
  for (const child of call.parent.children) child.cancel();
  endExecution(relay, call, outcome);
  if (heldSlot && relay.admission !== null) {
    const now = relay.clock();
    const serviceMs = now - call.startedAt;
    const { ticket } = call;
    const decision = finish(
      relay.admission,
      { ticket, serviceMs, nestedMs, outcome },
      now,
    );
    applyQueueDecision(decision, now);
  }
  return true;
}

function nestedTime(
  { children, waitingSince, nestedMs }: Parent,
  now: number,
): number {
  return children.size === 0 ? nestedMs : nestedMs + now - waitingSince;
}

function endExecution(relay: Relay, call: InboundCall, outcome: Outcome): void {
  if (call.nonce === null) return;
  const { recording } = call;
  if (outcome.kind === "answered" && recording !== null) {
    finishExecution(
      relay.ledger,
      call.nonce,
      recording.overflow ? { kind: "unknown", reason: "response-gone" } : {
        status: recording.status,
        headers: recording.headers,
        body: Buffer.concat(recording.chunks),
      },
    );
    return;
  }
  revokeToken(relay.ledger, call.nonce);
  finishExecution(relay.ledger, call.nonce, outcome);
}
