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

const DECREASE = 0.8;
/** Full recovery from the minimum takes 20 intervals, which is 1 s. */
const INCREASE_SHARE = 1 / 20;
/** Far above: nested calls make service times vary by a factor of about 2. */
const SLOW_RATIO = 3;
const GRADIENT_TOLERANCE = 1.5;
const GRADIENT_FLOOR = 0.5;
const GRADIENT_SMOOTHING = 0.2;

/** Ways to adapt the concurrency limit, one step per interval. */
export const ALGORITHMS: Record<Limiter["algorithm"], Algorithm> = {
  aimd: (limiter, sample) => {
    const slow = sample.meanMs > SLOW_RATIO * limiter.baselineMs;
    if (sample.failing || slow) return limiter.exact * DECREASE;
    if (!sample.used) return limiter.exact;
    return limiter.exact + Math.max(1, sample.slots * INCREASE_SHARE);
  },
  gradient: (limiter, sample) => {
    if (sample.failing) return limiter.exact * DECREASE;
    if (sample.meanMs === 0) return limiter.exact;
    const ratio = GRADIENT_TOLERANCE * limiter.baselineMs / sample.meanMs;
    const gradient = Math.max(GRADIENT_FLOOR, Math.min(1, ratio));
    if (gradient === 1 && !sample.used) return limiter.exact;
    const next = limiter.exact * gradient + Math.sqrt(limiter.exact);
    return limiter.exact + GRADIENT_SMOOTHING * (next - limiter.exact);
  },
};
