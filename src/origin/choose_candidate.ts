import type { Random } from "../core/random.ts";
import type { Candidate } from "./candidate.ts";

// Below this load a server starts a request at once, even if its last report is
// slightly out of date.
const SPILL_LOAD = 0.85;
// Difference in load from which a server in another data centre is preferred:
// sending requests there costs latency and bandwidth.
const REMOTE_PENALTY = 0.1;
// If a run at the local server takes more than `SLOW_RUN_SHARE` of the target
// latency, a remote server is preferred that is faster by the factor
// `MIN_SPEEDUP` and has a load below `MAX_SPEEDUP_LOAD`.
const SLOW_RUN_SHARE = 0.5;
const MIN_SPEEDUP = 1.5;
const MAX_SPEEDUP_LOAD = 0.6;
// A server whose failure rate exceeds the lowest one by more than
// `MAX_EXCESS_RATE` gets only the share of requests that detects its recovery.
const MAX_EXCESS_RATE = 0.25;
const PROBE_SHARE = 0.03;
// Load from which a server counts as full.
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
  const bestLocal = betterOfTwo(local, random);
  const bestRemote = betterOfTwo(remote, random);
  if (bestLocal === null || bestRemote === null) return bestLocal ?? bestRemote;
  if (bestLocal.load < SPILL_LOAD) {
    const faster = bestLocal.runMs > SLOW_RUN_SHARE * targetLatencyMs &&
      bestRemote.load < MAX_SPEEDUP_LOAD && bestRemote.runMs > 0 &&
      bestLocal.runMs > MIN_SPEEDUP * bestRemote.runMs;
    return faster ? bestRemote : bestLocal;
  }
  return bestRemote.load + REMOTE_PENALTY < bestLocal.load
    ? bestRemote
    : bestLocal;
}

function withoutFailing(
  candidates: readonly Candidate[],
  random: Random,
): readonly Candidate[] {
  let min = 1;
  let max = 0;
  for (const { failureRate } of candidates) {
    min = Math.min(min, failureRate);
    max = Math.max(max, failureRate);
  }
  if (max <= min + MAX_EXCESS_RATE || random() < PROBE_SHARE) return candidates;
  const healthy = candidates.filter(({ failureRate }) =>
    failureRate <= min + MAX_EXCESS_RATE
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
