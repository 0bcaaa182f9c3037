/** Buffered output of log lines. */
export type LogWriter = {
  /** Writes what is buffered now. */
  flush(): void;
  /** Flushes and gives the output back to the synchronous writer of `debug`. */
  uninstall(): void;
};
