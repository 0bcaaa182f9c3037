import type { Random } from "../../src/core/random.ts";

/** How nodes choose partners, and what that costs. */
export type Overlay = {
  /** Chooses a partner; `null` if the node knows nobody. */
  choose(node: number, random: Random): number | null;
  /** Runs what the overlay exchanges with the message; returns its entries. */
  meet(node: number, partner: number, random: Random): number;
  /** Notes that a partner did not answer. */
  miss(node: number, partner: number): void;
  /** Ends a round of all nodes. */
  age(): void;
};
