/** What an inbound daemon reports with every response. */
export type Feedback = {
  /** Retries returned. */
  unspent: number;
  /** Admission level, or null where none was reported. */
  level: number | null;
  /** Load, see `admission/load.ts`, or null where none was reported. */
  load: number | null;
  /** Execution tokens issued in advance. */
  tokens: string[];
  /** Whether a call further down was rejected for overload. */
  downstreamOverload: boolean;
};
