/** One HTTP listener of a daemon. */
export type Listener = {
  /**
   * From now on each response closes its connection, so that callers that hold
   * connections move to other daemons before this one closes.
   */
  retire(): void;
  /**
   * Stops accepting connections. Closes idle ones after a grace period and each
   * other one after its response; settles when all are closed.
   */
  close(): Promise<void>;
};
