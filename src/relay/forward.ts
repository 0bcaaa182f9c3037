import type { Call } from "./call.ts";
import { endForwarding } from "./end_forwarding.ts";
import type { Exchange } from "./exchange.ts";
import { findTarget } from "./find_target.ts";
import { failForwarding } from "./fail_forwarding.ts";
import type { Forwarding } from "./forwarding.ts";
import type { Relay } from "./relay.ts";
import type { Reply } from "./reply.ts";
import { sendAttempt } from "./send_attempt.ts";

/**
 * Time after the deadline in which the receiving daemon may still report its
 * outcome, in ms.
 */
const DEADLINE_GRACE_MS = 30;

/** Forwards a call with as many attempts as its rule and retries allow. */
export function forward(relay: Relay, call: Call, reply: Reply): Exchange {
  const forwarding: Forwarding = {
    call,
    reply,
    open: {
      deadlineAt: call.context.deadlineAt + DEADLINE_GRACE_MS,
      expire: () => expire(relay, forwarding),
    },
    startedAt: relay.clock(),
    exchange: null,
    settleAttempt: null,
    attempts: 0,
    known: null,
    triedDaemons: new Set(),
    refusedToken: null,
    ended: false,
    startNextAttempt: () => startAttempt(relay, forwarding),
  };
  relay.open.add(forwarding.open);
  startAttempt(relay, forwarding);
  return {
    cancel() {
      const outcome = { kind: "unknown", reason: "cancelled" } as const;
      if (!endForwarding(relay, forwarding, outcome)) return;
      forwarding.exchange?.cancel();
      forwarding.settleAttempt?.(outcome);
    },
    resume: () => forwarding.exchange?.resume(),
  };
}

function startAttempt(relay: Relay, forwarding: Forwarding): void {
  if (forwarding.ended) return;
  findTarget(relay, forwarding, (found) => {
    if (forwarding.ended) return;
    if ("kind" in found) return failForwarding(relay, forwarding, found);
    sendAttempt(relay, forwarding, found);
  });
}

function expire(relay: Relay, forwarding: Forwarding): void {
  forwarding.exchange?.cancel();
  const sent = forwarding.attempts > 0;
  const outcome = {
    kind: sent ? "unknown" : "not-run",
    reason: "deadline",
  } as const;
  forwarding.settleAttempt?.(outcome);
  failForwarding(relay, forwarding, outcome);
}
