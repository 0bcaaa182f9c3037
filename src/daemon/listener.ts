/** One HTTP listener of a daemon. */
export type Listener = {
  /**
   * From now on each response closes its connection, so that callers that hold
   * connections move to other daemons before this one closes.
   */
  retire(): void;
  /**
   * Takes no more connections, closes the idle ones at once and each other one
   * after its response; settles when all are closed.
   */
  close(): Promise<void>;
};
