/**
 * Recent request ids and the resend token bucket of each caller. A resend is a
 * request that its caller sends again with the same id.
 */
export type Resends = {
  /** By caller, least recently active first. */
  callers: Map<string, Caller>;
  /** Request ids remembered over all callers. */
  size: number;
};

type Caller = {
  /** Time in ms a request was last sent, by hash of its id, oldest first. */
  sentAt: Map<number, number>;
  /** Resends that the caller may still make; fractions accumulate. */
  tokens: number;
  refilledAt: number;
};
