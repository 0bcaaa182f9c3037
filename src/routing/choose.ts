import type { Random } from "../core/random.ts";
import type { Candidate } from "./candidate.ts";
import { observe } from "./observe.ts";
import type { Routing } from "./routing.ts";

/** One choice to make. */
type Query = {
  service: string;
  candidates: readonly Candidate[];
  /** Addresses already tried or excluded by shedding. */
  exclude: ReadonlySet<string>;
};

/** The chosen daemon and why, for the log line of the decision. */
type Choice =
  | { kind: "chosen"; candidate: Candidate; reason: string; considered: number }
  | { kind: "none"; reason: string };

/** Chooses a daemon for an attempt: two random choices, the less loaded wins. */
export function choose(
  routing: Routing,
  query: Query,
  _now: number,
  random: Random,
): Choice {
  const usable = query.candidates.filter((candidate) =>
    !query.exclude.has(candidate.address)
  );
  if (usable.length === 0) return { kind: "none", reason: "no-candidate" };
  const near = usable.filter((candidate) =>
    candidate.dataCentre === routing.dataCentre
  );
  const pool = near.length > 0 ? near : usable;
  const one = pool[Math.floor(random() * pool.length)]!;
  const two = pool[Math.floor(random() * pool.length)]!;
  const candidate = cost(routing, one) <= cost(routing, two) ? one : two;
  return {
    kind: "chosen",
    candidate,
    reason: near.length > 0 ? "own-data-centre" : "other-data-centre",
    considered: pool.length,
  };
}

function cost(routing: Routing, candidate: Candidate): number {
  const observation = observe(routing, candidate.address);
  return observation.inFlight / candidate.slots + observation.load;
}
