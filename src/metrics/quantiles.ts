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
    const wanted = Math.max(
      1,
      Math.ceil(percentile / 100 * histogram.totalCount),
    );
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
