/** Limits of the caller resend bucket. */
export const resendLimits = {
  /** Resends that a caller may make at once. */
  burst: 10,
  /** A rarely seen caller may still resend after a second. */
  tokensPerMs: 1 / 1_000,
  /** Each first send earns this, so that resends add at most a tenth to the load. */
  tokensPerSend: 0.1,
  /** A resend after this time counts as a first send. */
  retentionMs: 60_000,
  callers: 1_024,
  /** About 5 MB in all; the 128 MB of a daemon hold much else. */
  ids: 65_536,
};
