import { requestPriority } from "../context/request_priority.ts";
import type { Outcome } from "../outcomes/outcome.ts";
import type { Candidate } from "../routing/candidate.ts";
import { choose } from "../routing/choose.ts";
import { decideShedding } from "../shedding/decide_shedding.ts";
import type { Call } from "./call.ts";
import type { Relay } from "./relay.ts";

/** The daemon for the next attempt, or why there is none. */
type Pick =
  | { kind: "chosen"; candidate: Candidate; reason: string; considered: number }
  | { kind: "none"; reason: string; outcome: Outcome };

/** Picks the daemon for the next attempt at a call. */
export function pickDaemon(
  relay: Relay,
  call: Call,
  tried: ReadonlySet<string>,
): Pick {
  const now = relay.clock();
  const { service } = call;
  const candidates = relay.candidates(service);
  if (candidates.length === 0) {
    const known = relay.serviceRule(service) !== undefined;
    return none(known ? "no-server" : "unknown-service");
  }
  const daemons = addressesOf(candidates);
  const screened = decideShedding(
    relay.shedding,
    {
      service,
      daemons,
      priority: requestPriority(call.context),
      department: call.context.department,
    },
    now,
  );
  if (screened.kind === "shed") return none("overload");
  const { exclude } = screened;
  const untried = tried.size === 0 ? exclude : new Set([...exclude, ...tried]);
  const query = { service, candidates, exclude: untried };
  const choice = choose(relay.routing, query, now, relay.random);
  if (choice.kind === "chosen") return choice;
  // With few servers one that failed before is better than none.
  const again = choose(
    relay.routing,
    { service, candidates, exclude },
    now,
    relay.random,
  );
  if (again.kind === "chosen") return again;
  return none(exclude.size > 0 ? "overload" : "no-server");
}

const addresses = new WeakMap<readonly Candidate[], string[]>();

/** The list of candidates keeps its identity until one of them changes. */
function addressesOf(candidates: readonly Candidate[]): string[] {
  let known = addresses.get(candidates);
  if (known === undefined) {
    known = candidates.map(({ address }) => address);
    addresses.set(candidates, known);
  }
  return known;
}

function none(reason: "no-server" | "unknown-service" | "overload"): Pick {
  return { kind: "none", reason, outcome: { kind: "not-run", reason } };
}
