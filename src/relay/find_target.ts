import { parseToken } from "../execution/parse_token.ts";
import type { Outcome } from "../outcomes/outcome.ts";
import type { Forwarding } from "./forwarding.ts";
import { logRoute } from "./log_route.ts";
import { obtainToken } from "./obtain_token.ts";
import { pickDaemon } from "./pick_daemon.ts";
import type { Relay } from "./relay.ts";
import type { Target } from "./target.ts";

/**
 * Called with the target of the next attempt, or the outcome if there is none.
 */
type Done = (found: Target | Outcome) => void;

/** Determines the daemon and the execution token of the next attempt. */
export function findTarget(
  relay: Relay,
  forwarding: Forwarding,
  done: Done,
): void {
  const { call, refusedToken: refused } = forwarding;
  if (call.hasCallerToken) {
    return done(targetOfToken(relay, forwarding, call.context.token ?? ""));
  }
  if (call.binding === null) return pickTarget(relay, forwarding, done);
  call.binding({ fresh: null, refused }, (bound) => {
    if (bound.kind === "rejected") return done(bound.outcome);
    if (bound.kind === "token") {
      return done(targetOfToken(relay, forwarding, bound.token));
    }
    pickTarget(relay, forwarding, done);
  });
}

/** Returns the issuing daemon as target: a token is valid only there. */
function targetOfToken(
  relay: Relay,
  forwarding: Forwarding,
  token: string,
): Target | Outcome {
  const parsed = parseToken(token);
  if (parsed === null) return { kind: "not-run", reason: "token-invalid" };
  const { address } = parsed;
  logRoute(relay, forwarding, {
    daemon: address,
    reason: "token",
    considered: 1,
  });
  return { address, token, isFirstSend: false };
}

function pickTarget(relay: Relay, forwarding: Forwarding, done: Done): void {
  const { call, refusedToken: refused } = forwarding;
  const pick = pickDaemon(relay, call, forwarding.triedDaemons);
  if (pick.kind === "none") {
    logRoute(relay, forwarding, { reason: pick.reason, considered: 0 });
    return done(pick.outcome);
  }
  const { address } = pick.candidate;
  const { reason, considered } = pick;
  logRoute(relay, forwarding, { daemon: address, reason, considered });
  if (call.rule.idempotent) {
    return done({ address, token: null, isFirstSend: true });
  }
  obtainToken(relay, pick.candidate, (fresh) => {
    if (fresh === null) {
      return done({ kind: "not-run", reason: "connect-failed" });
    }
    if (call.binding === null) {
      return done({ address, token: fresh, isFirstSend: true });
    }
    call.binding({ fresh, refused }, (bound) => {
      if (bound.kind === "rejected") return done(bound.outcome);
      if (bound.kind === "missing" || bound.token === fresh) {
        return done({ address, token: fresh, isFirstSend: true });
      }
      done(targetOfToken(relay, forwarding, bound.token));
    });
  });
}
