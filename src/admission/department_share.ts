/** Recent arrivals from one department, by importance rank. */
export type DepartmentShare = {
  /** Arrivals since the latest tick. */
  counts: number[];
  /** Smoothed arrivals per ms; falls slowly. */
  rates: number[];
  /** Whether the department is below its fair share of the class being shed. */
  belowShare: boolean;
};
