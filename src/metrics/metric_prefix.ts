/** Prefix of the names of this program's metrics. */
export const METRIC_PREFIX = "nutmegmoor_";
