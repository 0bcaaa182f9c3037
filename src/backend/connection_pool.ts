import type { ServerConnection } from "./server_connection.ts";

/** Connections to the backend server, kept open between requests. */
export type ConnectionPool = {
  /**
   * Returns the most recently used idle connection that may carry a request of
   * this id, or opens a new one.
   */
  take(id: string): ServerConnection;
  /** Closes connections that the server would soon close as idle. */
  sweep(now: number): void;
  /** Closes all idle connections, and those in use once they become idle. */
  clear(): void;
};
