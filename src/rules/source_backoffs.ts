/**
 * Sources whose rules were rejected: the time of the next attempt and the
 * current delay, both in ms.
 */
export type SourceBackoffs = Map<string, { retryAt: number; delayMs: number }>;
