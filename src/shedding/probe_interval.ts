/**
 * One in this many requests below the level is sent as a probe. The daemon gets
 * 2% of the shed requests, and a lower level is detected within 50 requests.
 */
export const PROBE_INTERVAL = 50;
