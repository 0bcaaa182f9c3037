import type { Random } from "../core/random.ts";
import type { Candidate } from "./candidate.ts";

// Below this load a server starts a request at once, also if the load is a
// little older than it looks.
const SPILL_LOAD = 0.85;
// What a server elsewhere must be less loaded by: going there costs time and
// bytes between data centres.
const REMOTE_PENALTY = 0.1;
// Where the own data centre's server takes most of the target latency, one
// elsewhere that is this much faster is worth the way while it has room.
const SLOW_SHARE = 0.5;
const FASTER = 1.5;
const FASTER_LOAD = 0.6;
// A server with this many failures more than the best is passed over, but for
// the share of requests that shows whether it has recovered.
const FAILING_MORE = 0.25;
const PROBE_SHARE = 0.03;
const FULL_LOAD = 1.2;

/**
 * Chooses a server of the own data centre while one has room, then the less
 * loaded one anywhere. Of several alike, the better of two at random, so that
 * callers with the same figures don't all turn to one server.
 */
export function chooseCandidate(
  candidates: readonly Candidate[],
  dataCentre: string,
  targetLatencyMs: number,
  random: Random,
): Candidate | null {
  const sound = withoutFailing(candidates, random);
  const near: Candidate[] = [];
  const far: Candidate[] = [];
  for (const candidate of sound) {
    (candidate.dataCentre === dataCentre ? near : far).push(candidate);
  }
  const nearest = betterOfTwo(near, random);
  const other = betterOfTwo(far, random);
  if (nearest === null || other === null) return nearest ?? other;
  if (nearest.load < SPILL_LOAD) {
    const faster = nearest.runMs > SLOW_SHARE * targetLatencyMs &&
      other.load < FASTER_LOAD && other.runMs > 0 &&
      nearest.runMs > FASTER * other.runMs;
    return faster ? other : nearest;
  }
  return other.load + REMOTE_PENALTY < nearest.load ? other : nearest;
}

function withoutFailing(
  candidates: readonly Candidate[],
  random: Random,
): readonly Candidate[] {
  let least = 1;
  let most = 0;
  for (const { failureRate: failing } of candidates) {
    least = Math.min(least, failing);
    most = Math.max(most, failing);
  }
  if (most <= least + FAILING_MORE || random() < PROBE_SHARE) return candidates;
  const sound = candidates.filter(({ failureRate: failing }) =>
    failing <= least + FAILING_MORE
  );
  // Without room at the sound ones, some answers are better than none.
  return sound.some(({ load }) => load < FULL_LOAD) ? sound : candidates;
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
