import type { Outcome } from "../outcomes/outcome.ts";
import { MAX_EJECTED_SHARE } from "./max_ejected_share.ts";
import type { Observation } from "./observation.ts";
import { observationOf } from "./observation_of.ts";
import type { Pool } from "./pool.ts";
import type { Routing } from "./routing.ts";
import { classifyOutcome } from "./classify_outcome.ts";

/** How an attempt at a daemon ended. */
type Ending = {
  address: string;
  outcome: Outcome;
  /** Load reported with the response, if any. */
  load: number | null;
};

const FAILURES_TO_EJECT = 3;
const FIRST_EJECTION_MS = 500;
const MAX_EJECTION_MS = 30_000;
/** Time since its reinstatement after which a daemon's backoff is reset. */
const BACKOFF_RESET_MS = 60_000;

/** Records the end of an attempt and updates the health of its daemon. */
export function end(routing: Routing, ending: Ending, now: number): void {
  const observation = observationOf(routing, ending.address);
  observation.inFlight = Math.max(0, observation.inFlight - 1);
  observation.usedAt = now;
  if (ending.load !== null) {
    observation.load = ending.load;
    observation.loadAt = now;
  }
  const pool = routing.pools.get(observation.service ?? "");
  if (pool !== undefined && rejectedAsLeaving(ending.outcome)) {
    markLeaving(pool, ending.address);
  }
  HANDLERS[classifyOutcome(ending)](observation, pool, now);
  observation.probing = false;
}

type Handler = (
  observation: Observation,
  pool: Pool | undefined,
  now: number,
) => void;

const HANDLERS: Record<ReturnType<typeof classifyOutcome>, Handler> = {
  nothing: () => {},
  alive: (observation, pool, now) => {
    observation.failures = 0;
    // Only a probe reinstates: answers to older attempts may predate the fault.
    if (!observation.probing) return;
    observation.ejectedUntil = 0;
    observation.reinstatedAt = now;
    if (pool !== undefined) setEjected(pool, observation, false);
  },
  failure: (observation, pool, now) => {
    observation.failures += 1;
    const ejected = observation.ejectedUntil > 0;
    if (ejected ? !observation.probing : !mayEject(observation, pool)) return;
    if (!ejected && now - observation.reinstatedAt > BACKOFF_RESET_MS) {
      observation.ejections = 0;
    }
    const durationMs = FIRST_EJECTION_MS * 2 ** observation.ejections;
    observation.ejectedUntil = now + Math.min(durationMs, MAX_EJECTION_MS);
    observation.ejections += 1;
    if (pool !== undefined) setEjected(pool, observation, true);
  },
};

function mayEject(observation: Observation, pool: Pool | undefined): boolean {
  return pool !== undefined && observation.failures >= FAILURES_TO_EJECT &&
    pool.ejected.size + 1 <= MAX_EJECTED_SHARE * pool.members.length;
}

function setEjected(
  pool: Pool,
  observation: Observation,
  ejected: boolean,
): void {
  const member = pool.members.find((other) =>
    other.observation === observation
  );
  if (member === undefined) return;
  if (ejected) pool.ejected.add(member);
  else pool.ejected.delete(member);
}

function rejectedAsLeaving(outcome: Outcome): boolean {
  return outcome.kind === "not-run" && outcome.reason === "leaving";
}

function markLeaving(pool: Pool, address: string): void {
  const member = pool.members.find(
    ({ candidate }) => candidate.address === address,
  );
  if (member === undefined) return;
  const { since, sequence } = member.candidate;
  member.observation.leaving = { since, sequence };
}
