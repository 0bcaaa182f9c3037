/**
 * All series of one metric. Series are found by a map per label, since values
 * of labels are hashed once and building a joint key would cost more.
 */
export type Family<Series> = {
  /** Label names, fixed by the first measurement. */
  labelNames: string[];
  /** The series itself where a metric has no labels. */
  root: Branch<Series> | Series | undefined;
  /** Values in the order of the label names, with their series. */
  entries: { values: string[]; series: Series }[];
  /** Takes measurements once the cap on series is reached. */
  overflow: Series | undefined;
};

type Branch<Series> = Map<string, Branch<Series> | Series>;
