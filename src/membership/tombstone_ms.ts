/**
 * How long a departed member is remembered, in ms. An old copy can come back
 * only with a daemon that was cut off, and one that was cut off for half of
 * this time discards its copy, see `tick`. Regions are partitioned for an hour.
 */
export const TOMBSTONE_MS = 24 * 3_600_000;
