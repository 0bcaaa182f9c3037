/** Buffered output of log lines. */
export type LogWriter = {
  /** Writes the buffered lines. */
  flush(): void;
  /** Flushes and restores the synchronous output of `debug`. */
  uninstall(): void;
};
