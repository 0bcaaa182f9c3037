import type { Random } from "../core/random.ts";
import type { Candidate } from "./candidate.ts";

// Below this load a server starts a request at once, even if its last report is
// slightly out of date.
const SPILL_LOAD = 0.85;
// Load by which a server in another data centre must be lower: the way there
// costs latency and bandwidth between data centres.
const REMOTE_PENALTY = 0.1;
// If a run at the local data centre's server takes this share of the target
// latency, a remote server that is this much faster and has spare capacity is
// preferred.
const SLOW_RUN_SHARE = 0.5;
const MIN_SPEEDUP = 1.5;
const MAX_FASTER_LOAD = 0.6;
// A server whose failure rate exceeds the lowest one by more than this gets
// only the share of requests that shows whether it has recovered.
const MAX_EXCESS = 0.25;
const PROBE_SHARE = 0.03;
const FULL_LOAD = 1.2;

/**
 * Chooses a server of the local data centre while one has capacity, then the
 * less loaded one of any. Within a group, takes the better of two random
 * servers, so that callers with the same load reports don't all choose one.
 */
export function chooseCandidate(
  candidates: readonly Candidate[],
  dataCentre: string,
  targetLatencyMs: number,
  random: Random,
): Candidate | null {
  const healthy = withoutFailing(candidates, random);
  const local: Candidate[] = [];
  const remote: Candidate[] = [];
  for (const candidate of healthy) {
    (candidate.dataCentre === dataCentre ? local : remote).push(candidate);
  }
  const nearest = betterOfTwo(local, random);
  const other = betterOfTwo(remote, random);
  if (nearest === null || other === null) return nearest ?? other;
  if (nearest.load < SPILL_LOAD) {
    const faster = nearest.runMs > SLOW_RUN_SHARE * targetLatencyMs &&
      other.load < MAX_FASTER_LOAD && other.runMs > 0 &&
      nearest.runMs > MIN_SPEEDUP * other.runMs;
    return faster ? other : nearest;
  }
  return other.load + REMOTE_PENALTY < nearest.load ? other : nearest;
}

function withoutFailing(
  candidates: readonly Candidate[],
  random: Random,
): readonly Candidate[] {
  let best = 1;
  let worst = 0;
  for (const { failureRate } of candidates) {
    best = Math.min(best, failureRate);
    worst = Math.max(worst, failureRate);
  }
  if (worst <= best + MAX_EXCESS || random() < PROBE_SHARE) return candidates;
  const healthy = candidates.filter(({ failureRate }) =>
    failureRate <= best + MAX_EXCESS
  );
  // If the healthy ones are full, a failing server is better than a refusal.
  return healthy.some(({ load }) => load < FULL_LOAD) ? healthy : candidates;
}

function betterOfTwo(
  candidates: readonly Candidate[],
  random: Random,
): Candidate | null {
  if (candidates.length < 2) return candidates[0] ?? null;
  const first = Math.floor(random() * candidates.length);
  const offset = 1 + Math.floor(random() * (candidates.length - 1));
  const a = candidates[first]!;
  const b = candidates[(first + offset) % candidates.length]!;
  return b.load < a.load ? b : a;
}
