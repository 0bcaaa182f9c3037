/**
 * One of so many requests below the level passes as a probe: 2% more arrivals
 * at the daemon, and a fallen level is noticed within 50 requests.
 */
export const PROBE_INTERVAL = 50;
