/** Limits of the resend token buckets and of the memory that they use. */
export const resendLimits = {
  /** Resends that a caller may make at once. */
  burst: 10,
  /** Refill over time: a caller that rarely sends may resend after a second. */
  tokensPerMs: 1 / 1_000,
  /** Refill by each first send: resends add at most a tenth to the load. */
  tokensPerSend: 0.1,
  /** A resend after this time counts as a first send. */
  retentionMs: 60_000,
  /** Callers that are tracked; the least recently active is evicted. */
  callers: 1_024,
  /** Request ids of all callers: about 5 MB, a small part of a daemon's 128 MB. */
  ids: 65_536,
};
