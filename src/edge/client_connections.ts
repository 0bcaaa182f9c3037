import type { Socket } from "node:net";

/** The open connections of clients. */
export type ClientConnections = {
  accept(socket: Socket): void;
  /** Closes connections that are idle or slow for too long. */
  sweep(): void;
  /** From now on, connections are closed behind their last reply. */
  drain(): void;
  /** Closes the connections without a request. */
  closeIdle(): void;
  /** How many are open. */
  size(): number;
  /** How many replies their connections haven't taken whole. */
  unsent(): number;
};
