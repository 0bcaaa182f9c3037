/** One structured line of a daemon's log. */
export type LogLine = {
  /** Time of day at which it was written, in ms. */
  at: number;
  /** File that holds it. */
  source: string;
  event: string;
  fields: ReadonlyMap<string, string>;
};
