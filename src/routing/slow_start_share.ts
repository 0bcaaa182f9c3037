import type { Member } from "./member.ts";

/** Share of the traffic that a cold server starts with. */
const COLD_SHARE = 0.1;
/** Ramp of a server that was ejected, where it announces no longer one. */
const REINSTATED_RAMP_MS = 1000;

/** Returns the share of its normal traffic that a server can take, up to 1. */
export function slowStartShare(
  { candidate, observation }: Member,
  now: number,
): number {
  const { since, warmupMs } = candidate;
  const returnedMs = now - observation.reinstatedAt;
  const cold = warmupMs > 0 ? (now - since) / warmupMs : 1;
  const returned = returnedMs / Math.max(warmupMs, REINSTATED_RAMP_MS);
  return Math.max(COLD_SHARE, Math.min(1, cold, returned));
}
