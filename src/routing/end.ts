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
const LONGEST_EJECTION_MS = 30_000;
/** A daemon that worked for so long starts with a short ejection again. */
const FORGIVEN_AFTER_MS = 60_000;

/** Counts an attempt that ended and learns from how it ended. */
export function end(routing: Routing, ending: Ending, now: number): void {
  const observation = observationOf(routing, ending.address);
  observation.inFlight = Math.max(0, observation.inFlight - 1);
  observation.usedAt = now;
  if (ending.load !== null) {
    observation.load = ending.load;
    observation.loadAt = now;
  }
  const plan = routing.pools.get(observation.service ?? "");
  if (plan !== undefined && left(ending.outcome)) {
    markLeaving(plan, ending.address);
  }
  LEARN[classifyOutcome(ending)](observation, plan, now);
  observation.probing = false;
}

type Learn = (
  observation: Observation,
  plan: Pool | undefined,
  now: number,
) => void;

const LEARN: Record<ReturnType<typeof classifyOutcome>, Learn> = {
  nothing: () => {},
  alive: (observation, plan, now) => {
    observation.failures = 0;
    // Only a probe reinstates: older attempts may have been answered earlier.
    if (!observation.probing) return;
    observation.ejectedUntil = 0;
    observation.reinstatedAt = now;
    if (plan !== undefined) setEjected(plan, observation, false);
  },
  failure: (observation, plan, now) => {
    observation.failures += 1;
    const ejected = observation.ejectedUntil > 0;
    if (ejected ? !observation.probing : !mayEject(observation, plan)) return;
    if (!ejected && now - observation.reinstatedAt > FORGIVEN_AFTER_MS) {
      observation.ejections = 0;
    }
    const durationMs = FIRST_EJECTION_MS * 2 ** observation.ejections;
    observation.ejectedUntil = now + Math.min(durationMs, LONGEST_EJECTION_MS);
    observation.ejections += 1;
    if (plan !== undefined) setEjected(plan, observation, true);
  },
};

function mayEject(observation: Observation, plan: Pool | undefined): boolean {
  return plan !== undefined && observation.failures >= FAILURES_TO_EJECT &&
    plan.ejected.size + 1 <= MAX_EJECTED_SHARE * plan.members.length;
}

function setEjected(plan: Pool, observation: Observation, on: boolean): void {
  const member = plan.members.find((each) => each.observation === observation);
  if (member === undefined) return;
  if (on) plan.ejected.add(member);
  else plan.ejected.delete(member);
}

function left(outcome: Outcome): boolean {
  return outcome.kind === "not-run" && outcome.reason === "leaving";
}

function markLeaving(plan: Pool, address: string): void {
  const member = plan.members.find(
    ({ candidate }) => candidate.address === address,
  );
  if (member === undefined) return;
  const { since, sequence } = member.candidate;
  member.observation.leaving = { since, sequence };
}
