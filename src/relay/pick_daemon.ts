import { priority } from "../context/priority.ts";
import type { Outcome } from "../outcomes/outcome.ts";
import type { Candidate } from "../routing/candidate.ts";
import { choose } from "../routing/choose.ts";
import { permits } from "../shedding/permits.ts";
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
  const shed = new Set<string>();
  const wanted = priority(call.context);
  for (const { address } of candidates) {
    const query = { service, daemon: address, priority: wanted };
    if (!permits(relay.shedding, query, now)) shed.add(address);
  }
  if (shed.size === candidates.length) return none("overload");
  const exclude = new Set([...tried, ...shed]);
  // With few servers a daemon that failed once is better than none.
  const all = exclude.size >= candidates.length && shed.size === 0;
  const choice = choose(
    relay.routing,
    { service, candidates, exclude: all ? shed : exclude },
    now,
    relay.random,
  );
  if (choice.kind === "none") {
    return none(shed.size > 0 ? "overload" : "no-server");
  }
  return choice;
}

function none(reason: "no-server" | "unknown-service" | "overload"): Pick {
  return { kind: "none", reason, outcome: { kind: "not-run", reason } };
}
