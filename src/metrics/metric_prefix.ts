/** Namespace of the metrics of this program. */
export const METRIC_PREFIX = "nutmegmoor_";
