/** Histograms record whole microseconds; their callers use ms. */
export const US_PER_MS = 1_000;
