/** Recent arrivals from one department, by importance rank. */
export type DepartmentShare = {
  /** Since the latest tick. */
  counts: number[];
  /** Arrivals per ms. */
  rates: number[];
  /** Whether it is below its fair share of the class that is being shed. */
  belowShare: boolean;
};
