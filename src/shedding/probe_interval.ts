/**
 * One of so many requests below the level passes as a probe: the daemon gets
 * 2% of what is shed, and a fallen level is noticed within 50 requests.
 */
export const PROBE_INTERVAL = 50;
