import type { Limiter } from "./limiter.ts";

/** What one interval showed. */
type Sample = {
  /** Mean service time in the interval, in ms; 0 without answers. */
  meanMs: number;
  /** Whether the share of failures is too high. */
  failing: boolean;
  /** Whether at least half of the limit was in use. */
  used: boolean;
  slots: number;
};

/** Returns the new limit, before it is bounded. */
type Algorithm = (limiter: Limiter, sample: Sample) => number;

const DECREASE = 0.9;
/**
 * The increase grows with the intervals since the latest decrease: small steps
 * around the right limit, and full recovery from the minimum in about 1 s.
 */
const INCREASE_SHARE = 1 / 220;
/**
 * With 3 the limit of a thrashing server was 71 instead of 62 and its goodput
 * 0.65 instead of 0.74 (bench/policy.ts, decrease by 0.85).
 */
const SLOW_RATIO = 2;
const GRADIENT_TOLERANCE = 1.5;
const GRADIENT_FLOOR = 0.5;
const GRADIENT_SMOOTHING = 0.2;

/** Ways to adapt the concurrency limit, one step per interval. */
export const LIMIT_ALGORITHMS: Record<Limiter["algorithm"], Algorithm> = {
  failures: (limiter, sample) => step(limiter, sample, sample.failing),
  aimd: (limiter, sample) => {
    const slow = sample.meanMs > SLOW_RATIO * limiter.baselineMs;
    return step(limiter, sample, sample.failing || slow);
  },
  gradient: (limiter, sample) => {
    if (sample.failing) return limiter.exactLimit * DECREASE;
    if (sample.meanMs === 0) return limiter.exactLimit;
    const ratio = GRADIENT_TOLERANCE * limiter.baselineMs / sample.meanMs;
    const gradient = Math.max(GRADIENT_FLOOR, Math.min(1, ratio));
    if (gradient === 1 && !sample.used) return limiter.exactLimit;
    const next = limiter.exactLimit * gradient + Math.sqrt(limiter.exactLimit);
    return limiter.exactLimit +
      GRADIENT_SMOOTHING * (next - limiter.exactLimit);
  },
};

function step(limiter: Limiter, sample: Sample, decrease: boolean): number {
  if (decrease) {
    limiter.increases = 0;
    return limiter.exactLimit * DECREASE;
  }
  if (!sample.used) return limiter.exactLimit;
  limiter.increases += 1;
  const increase = limiter.increases * sample.slots * INCREASE_SHARE;
  return limiter.exactLimit + Math.max(1, increase);
}
