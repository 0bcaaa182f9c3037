import type { Member } from "./member.ts";

/** Share of the traffic that a cold server starts with. */
const COLD_SHARE = 0.1;
/** Minimum duration of the slow start after an ejection. */
const REINSTATED_SLOW_START_MS = 1000;

/** Returns the share of its normal traffic that a server gets, up to 1. */
export function slowStartShare(
  { candidate, observation }: Member,
  now: number,
): number {
  const { since, warmupMs } = candidate;
  const sinceReinstatedMs = now - observation.reinstatedAt;
  const warmupShare = warmupMs > 0 ? (now - since) / warmupMs : 1;
  const reinstatedShare = sinceReinstatedMs /
    Math.max(warmupMs, REINSTATED_SLOW_START_MS);
  return Math.max(COLD_SHARE, Math.min(1, warmupShare, reinstatedShare));
}
