import type { JsHistogram } from "hdr-histogram-js";

/**
 * Returns the values at ascending percentiles in one pass; one pass for each
 * percentile would block the event loop when there are many histograms.
 */
export function quantiles(
  histogram: JsHistogram,
  percentiles: readonly number[],
): number[] {
  const values: number[] = [];
  let cumulativeCount = 0;
  let index = -1;
  for (const percentile of percentiles) {
    // 99.9% of 1000 is slightly more than 999 in floating point; it must not be
    // rounded up to 1000.
    const share = percentile / 100 * histogram.totalCount;
    const targetCount = Math.max(1, Math.ceil(share * (1 - Number.EPSILON)));
    while (
      cumulativeCount < targetCount && index + 1 < histogram.countsArrayLength
    ) {
      cumulativeCount += histogram.getCountAtIndex(++index);
    }
    values.push(
      histogram.totalCount === 0
        ? 0
        : histogram.highestEquivalentValue(histogram.valueFromIndex(index)),
    );
  }
  return values;
}
