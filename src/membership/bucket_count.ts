/**
 * Digest buckets per data centre. With 1,400 members, a bucket holds 22 entries
 * or about 2 KB, and the digests of all buckets take about 1 KB.
 */
export const BUCKET_COUNT = 64;
