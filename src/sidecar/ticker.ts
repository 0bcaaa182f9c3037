/** Scheduler of periodic tasks. */
export type Ticker = {
  /** Runs a task periodically, for the first time after one interval. */
  every(intervalMs: number, run: () => void): void;
};
