/** Sources whose rules did not pass the checks, and when to ask them again. */
export type SourceBackoffs = Map<string, { retryAt: number; delayMs: number }>;
