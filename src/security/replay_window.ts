/** The counters accepted from one sending process. */
type SenderState = {
  /** The largest counters, at most `REORDER_WINDOW`. */
  recent: number[];
  /** All counters up to this one count as received. */
  floor: number;
};

/** Messages that a recipient has already accepted, in bounded memory. */
export type ReplayWindow = {
  instance: string;
  /** Number of times the window was cleared. */
  generation: number;
  senders: Map<string, SenderState>;
  maxSenders: number;
};
