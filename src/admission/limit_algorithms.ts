import type { Limiter } from "./limiter.ts";

/** Measurements of one interval. */
type Sample = {
  /** Mean service time in the interval, in ms; 0 without responses. */
  meanMs: number;
  /** Whether the share of failures is too high. */
  failing: boolean;
  /** Whether at least half of the limit was in use. */
  used: boolean;
  slots: number;
};

/** Returns the new limit, not yet clamped to its bounds. */
type Algorithm = (limiter: Limiter, sample: Sample) => number;

const DECREASE_FACTOR = 0.9;
/**
 * The step grows by this share of the slots with each increase since the latest
 * decrease: steps are small around the right limit, and full recovery from the
 * minimum takes about 1 s.
 */
const INCREASE_SHARE = 1 / 220;
/**
 * Ratio of the mean service time to the baseline above which the server counts
 * as slow. With a higher ratio the limit of a thrashing server stays too high,
 * which lowers its goodput.
 */
const SLOW_RATIO = 2;
/**
 * Ratio of the mean service time to the baseline up to which the limit is not
 * reduced.
 */
const GRADIENT_TOLERANCE = 1.5;
/** Lower bound of the factor that reduces the limit, before smoothing. */
const GRADIENT_FLOOR = 0.5;
/** Weight of the newly computed limit against the current one. */
const GRADIENT_SMOOTHING = 0.2;

/** Algorithms that adapt the concurrency limit, one step per interval. */
export const LIMIT_ALGORITHMS: Record<Limiter["algorithm"], Algorithm> = {
  failures: (limiter, sample) => aimdStep(limiter, sample, sample.failing),
  aimd: (limiter, sample) => {
    const slow = sample.meanMs > SLOW_RATIO * limiter.baselineMs;
    return aimdStep(limiter, sample, sample.failing || slow);
  },
  gradient: (limiter, sample) => {
    if (sample.failing) return limiter.exactLimit * DECREASE_FACTOR;
    if (sample.meanMs === 0) return limiter.exactLimit;
    const ratio = GRADIENT_TOLERANCE * limiter.baselineMs / sample.meanMs;
    const gradient = Math.max(GRADIENT_FLOOR, Math.min(1, ratio));
    if (gradient === 1 && !sample.used) return limiter.exactLimit;
    const next = limiter.exactLimit * gradient + Math.sqrt(limiter.exactLimit);
    return limiter.exactLimit +
      GRADIENT_SMOOTHING * (next - limiter.exactLimit);
  },
};

/** Additive increase, multiplicative decrease (AIMD). */
function aimdStep(limiter: Limiter, sample: Sample, decrease: boolean): number {
  if (decrease) {
    limiter.increases = 0;
    return limiter.exactLimit * DECREASE_FACTOR;
  }
  if (!sample.used) return limiter.exactLimit;
  limiter.increases += 1;
  const increase = limiter.increases * sample.slots * INCREASE_SHARE;
  return limiter.exactLimit + Math.max(1, increase);
}
