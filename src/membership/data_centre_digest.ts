/** Digests of the live entries of one data centre. */
export type DataCentreDigest = {
  /** Sum of the fingerprints, modulo 2^48. */
  digest: number;
  /** The same sum for each bucket of addresses. */
  buckets: Float64Array;
};
