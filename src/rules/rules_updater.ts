import type { HeadNotice } from "./head_notice.ts";

/** Keeps the rules of one daemon up to date from peers and store. */
export type RulesUpdater = {
  /** Learns of a peer's head by gossip. */
  observeHead(address: string, sequence: number): void;
  /** Handles a head that a peer pushed. */
  receive(address: string, notice: HeadNotice): void;
  /** Polls the store if that is due; call it a few times a second. */
  tick(): void;
  /** Polls the store at once, after a submit through this daemon. */
  poll(): Promise<void>;
};
