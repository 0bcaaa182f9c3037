/**
 * Digest buckets per data centre: of 1,400 members, one holds 22 entries or
 * about 2 KB, and all bucket digests together take about 1 KB.
 */
export const BUCKET_COUNT = 64;
