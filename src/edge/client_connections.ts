import type { Socket } from "node:net";

/** The open connections from clients. */
export type ClientConnections = {
  accept(socket: Socket): void;
  /** Closes connections whose idle, head or body time-out has expired. */
  sweep(): void;
  /** From now on, closes each connection after its last pending reply. */
  drain(): void;
  /** Closes the connections without a request in progress. */
  closeIdle(): void;
  /** Number of open connections. */
  size(): number;
  /** Number of replies that have not been fully written. */
  unsent(): number;
};
