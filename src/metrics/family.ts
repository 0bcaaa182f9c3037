/**
 * All series of one metric, in nested maps with one level per label. The hash
 * of a label value is computed only once, whereas a key joined from all values
 * would have to be built and hashed for each lookup.
 */
export type Family<Series> = {
  /** Label names, fixed by the first measurement. */
  labelNames: string[];
  /** Map of the first label, or the series itself if there are no labels. */
  root: Branch<Series> | Series | undefined;
  /** Values in the order of the label names, with their series. */
  entries: { values: string[]; series: Series }[];
  /** Series of further label combinations once the cap on series is reached. */
  overflow: Series | undefined;
};

type Branch<Series> = Map<string, Branch<Series> | Series>;
