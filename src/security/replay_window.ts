/** The counters accepted from one sending process. */
type Seen = {
  /** The largest ones, at most `REORDERING`. */
  recent: number[];
  /** Everything up to this one counts as seen. */
  floor: number;
};

/** Which messages a recipient has accepted already, in bounded memory. */
export type ReplayWindow = {
  instance: string;
  /** Number of times the memory was cleared. */
  generation: number;
  senders: Map<string, Seen>;
  maxSenders: number;
};
