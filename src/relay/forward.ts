import { parseToken } from "../execution/parse_token.ts";
import type { Call } from "./call.ts";
import type { Exchange } from "./exchange.ts";
import { endForwarding } from "./end_forwarding.ts";
import { finishForwarding } from "./finish_forwarding.ts";
import type { Forwarding } from "./forwarding.ts";
import { obtainToken } from "./obtain_token.ts";
import { pickDaemon } from "./pick_daemon.ts";
import type { Relay } from "./relay.ts";
import type { Reply } from "./reply.ts";
import { sendAttempt } from "./send_attempt.ts";

/** Time past the deadline in which the daemon below may still report, in ms. */
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
    abandon: null,
    attempts: 0,
    known: null,
    tried: new Set(),
    ended: false,
    next: () => tryOnce(relay, forwarding),
  };
  relay.open.add(forwarding.open);
  if (call.callerToken) sendToOwner(relay, forwarding);
  else tryOnce(relay, forwarding);
  return {
    cancel() {
      const outcome = { kind: "unknown", reason: "cancelled" } as const;
      if (!endForwarding(relay, forwarding, outcome)) return;
      forwarding.exchange?.cancel();
      forwarding.abandon?.(outcome);
    },
    resume: () => forwarding.exchange?.resume(),
  };
}

/** A token that came with the request can run at the daemon it names only. */
function sendToOwner(relay: Relay, forwarding: Forwarding): void {
  const { token } = forwarding.call.context;
  const parsed = token === null ? null : parseToken(token);
  if (parsed === null) {
    const outcome = { kind: "not-run", reason: "token-invalid" } as const;
    return finishForwarding(relay, forwarding, outcome);
  }
  logRoute(relay, forwarding, {
    daemon: parsed.address,
    reason: "token",
    considered: 1,
  });
  sendAttempt(relay, forwarding, { address: parsed.address, token });
}

function tryOnce(relay: Relay, forwarding: Forwarding): void {
  if (forwarding.ended) return;
  const { call } = forwarding;
  const pick = pickDaemon(relay, call, forwarding.tried);
  if (pick.kind === "none") {
    logRoute(relay, forwarding, { reason: pick.reason, considered: 0 });
    return finishForwarding(relay, forwarding, pick.outcome);
  }
  const { address } = pick.candidate;
  const { reason, considered } = pick;
  logRoute(relay, forwarding, { daemon: address, reason, considered });
  if (call.rule.idempotent) {
    return sendAttempt(relay, forwarding, { address, token: null });
  }
  obtainToken(relay, address, (token) => {
    if (forwarding.ended) return;
    if (token !== null) {
      return sendAttempt(relay, forwarding, { address, token });
    }
    const outcome = { kind: "not-run", reason: "connect-failed" } as const;
    finishForwarding(relay, forwarding, outcome);
  });
}

function logRoute(
  relay: Relay,
  { call, attempts }: Forwarding,
  choice: { daemon?: string; reason: string; considered: number },
): void {
  relay.log("route", {
    request: call.context.requestId,
    service: call.service,
    attempt: attempts + 1,
    ...choice,
  });
}

function expire(relay: Relay, forwarding: Forwarding): void {
  forwarding.exchange?.cancel();
  const sent = forwarding.attempts > 0;
  const outcome = {
    kind: sent ? "unknown" : "not-run",
    reason: "deadline",
  } as const;
  forwarding.abandon?.(outcome);
  finishForwarding(relay, forwarding, outcome);
}
