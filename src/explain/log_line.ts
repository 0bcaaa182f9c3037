/** One structured line of a daemon's log. */
export type LogLine = {
  /** Unix time at which it was written, in ms. */
  at: number;
  /** File that contains it. */
  source: string;
  event: string;
  fields: ReadonlyMap<string, string>;
};
