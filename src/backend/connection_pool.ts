import type { ServerConnection } from "./server_connection.ts";

/** Connections to the backend server, kept open between requests. */
export type ConnectionPool = {
  /** Returns the connection that was in use last, or opens one. */
  take(): ServerConnection;
  /** Closes idle connections before the server does. */
  sweep(now: number): void;
  /** Closes all idle connections. */
  clear(): void;
};
