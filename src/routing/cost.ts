import type { Member } from "./member.ts";
import { slowStartShare } from "./slow_start_share.ts";

/** A reported load loses its weight linearly over this time. */
const LOAD_LIFETIME_MS = 1000;
const PENALTY_LIFETIME_MS = 1000;
/** Three failures make a daemon costlier than a fully loaded one. */
const FAILURE_COST = 0.5;

/**
 * Returns the cost of one more attempt at a daemon: attempts in flight per slot
 * plus the reported load, higher for a server that is still warming up and for
 * one whose latest attempts failed.
 */
export function cost(member: Member, now: number): number {
  const { candidate, observation } = member;
  const ageMs = now - observation.loadAt;
  const load = ageMs >= LOAD_LIFETIME_MS
    ? 0
    : observation.load * (1 - ageMs / LOAD_LIFETIME_MS);
  const share = slowStartShare(member, now);
  const busy = (observation.inFlight / share + 1) / candidate.slots;
  return busy + load / share + failurePenalty(member, now);
}

/**
 * Steers traffic away from a failing daemon that can't be ejected because too
 * many are. Decays while the daemon is idle, so that it is tried again.
 */
function failurePenalty({ observation }: Member, now: number): number {
  if (observation.failures === 0) return 0;
  const idleMs = now - observation.usedAt;
  if (idleMs >= PENALTY_LIFETIME_MS) return 0;
  return observation.failures * FAILURE_COST *
    (1 - idleMs / PENALTY_LIFETIME_MS);
}
