import { requestPriority } from "../context/request_priority.ts";
import type { Outcome } from "../outcomes/outcome.ts";
import type { Candidate } from "../routing/candidate.ts";
import { choose } from "../routing/choose.ts";
import { decideShedding } from "../shedding/decide_shedding.ts";
import type { Call } from "./call.ts";
import type { Relay } from "./relay.ts";

/** The daemon for the next attempt, or the reason why there is none. */
type DaemonChoice =
  | { kind: "chosen"; candidate: Candidate; reason: string; considered: number }
  | { kind: "none"; reason: string; outcome: Outcome };

/** Picks the daemon for the next attempt at a call. */
export function pickDaemon(
  relay: Relay,
  call: Call,
  tried: ReadonlySet<string>,
): DaemonChoice {
  const now = relay.clock();
  const { service } = call;
  const candidates = relay.candidates(service);
  if (candidates.length === 0) {
    const isKnown = relay.serviceRule(service) !== undefined;
    return noDaemon(isKnown ? "no-server" : "unknown-service");
  }
  const daemons = addressesOf(candidates);
  const decision = decideShedding(
    relay.shedding,
    {
      service,
      daemons,
      priority: requestPriority(call.context),
      department: call.context.department,
    },
    now,
  );
  if (decision.kind === "shed") return noDaemon("overload");
  const { exclude } = decision;
  const untried = tried.size === 0 ? exclude : new Set([...exclude, ...tried]);
  const query = { service, candidates, exclude: untried };
  const choice = choose(relay.routing, query, now, relay.random);
  if (choice.kind === "chosen") return choice;
  // With few servers, a daemon that failed before is better than none.
  const fallback = choose(
    relay.routing,
    { service, candidates, exclude },
    now,
    relay.random,
  );
  if (fallback.kind === "chosen") return fallback;
  return noDaemon(exclude.size > 0 ? "overload" : "no-server");
}

const addressCache = new WeakMap<readonly Candidate[], string[]>();

/**
 * Returns the addresses of the candidates. They are cached by array, because
 * the directory returns the same array until a candidate changes.
 */
function addressesOf(candidates: readonly Candidate[]): string[] {
  let addresses = addressCache.get(candidates);
  if (addresses === undefined) {
    addresses = candidates.map(({ address }) => address);
    addressCache.set(candidates, addresses);
  }
  return addresses;
}

function noDaemon(
  reason: "no-server" | "unknown-service" | "overload",
): DaemonChoice {
  return { kind: "none", reason, outcome: { kind: "not-run", reason } };
}
