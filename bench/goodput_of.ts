import type { Sample } from "../fleet/sample.ts";

/** Whole requests within a time span, in all and by importance. */
type Goodput = {
  perSecond: number;
  /** Share of the requests sent that were answered whole. */
  shares: Record<string, number>;
};

/** Counts whole requests that were due within a span, in ms. */
export function goodputOf(
  samples: Sample[],
  { from, to }: { from: number; to: number },
): Goodput {
  const due = samples.filter(({ at }) => at >= from && at < to);
  const good = due.filter(({ result }) => result === "good");
  const shares: Record<string, number> = {};
  for (const importance of ["critical", "normal", "sheddable"]) {
    const own = due.filter((sample) => sample.importance === importance);
    const whole = own.filter(({ result }) => result === "good");
    shares[importance] = own.length === 0 ? NaN : whole.length / own.length;
  }
  return { perSecond: good.length * 1000 / (to - from), shares };
}
