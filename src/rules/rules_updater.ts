import type { HeadNotice } from "./head_notice.ts";

/** Keeps the rules of one daemon up to date with its peers and the store. */
export type RulesUpdater = {
  /** Handles the sequence of a peer's head, learned by gossip. */
  observeHead(address: string, sequence: number): void;
  /** Handles a head that a peer pushed. */
  receive(address: string, notice: HeadNotice): void;
  /** Polls the store if that is due; call it a few times a second. */
  tick(): void;
  /**
   * Polls the store at once, after a change was submitted through this daemon.
   */
  poll(): Promise<void>;
};
