import type { JsHistogram } from "hdr-histogram-js";

/**
 * Returns the values at ascending percentiles in one pass; one pass for each
 * percentile would hold up the event loop when there are many histograms.
 */
export function quantiles(
  histogram: JsHistogram,
  percentiles: readonly number[],
): number[] {
  const values: number[] = [];
  let seen = 0;
  let index = -1;
  for (const percentile of percentiles) {
    // 99.9% of 1000 is just above 999 in floating point and must not be 1000.
    const share = percentile / 100 * histogram.totalCount;
    const wanted = Math.max(1, Math.ceil(share * (1 - Number.EPSILON)));
    while (seen < wanted && index + 1 < histogram.countsArrayLength) {
      seen += histogram.getCountAtIndex(++index);
    }
    values.push(
      histogram.totalCount === 0
        ? 0
        : histogram.highestEquivalentValue(histogram.valueFromIndex(index)),
    );
  }
  return values;
}
