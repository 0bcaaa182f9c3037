/** Sources whose rules did not pass the checks, and when to ask them again. */
export type Refusals = Map<string, { until: number; delayMs: number }>;
