/** What the receiving daemon reports with every response to another daemon. */
export type Feedback = {
  /** Retries that were allocated to the attempt and not spent. */
  unspent: number;
  /** Admission level, or null where none was reported. */
  level: number | null;
  /** Load, see `admission/load.ts`, or null where none was reported. */
  load: number | null;
  /** Execution tokens issued in advance. */
  tokens: string[];
  /** Whether a downstream call was rejected because of overload. */
  downstreamOverload: boolean;
};
