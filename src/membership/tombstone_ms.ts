/**
 * How long a departed or failed member is remembered, in ms. An old copy of its
 * entry can return only with a daemon that was cut off, and a daemon that was
 * cut off for half of this time discards its copies, see `tick`. Partitions
 * between regions last for about an hour.
 */
export const TOMBSTONE_MS = 24 * 3_600_000;
