import type { Random } from "../../src/core/random.ts";
import { choosePartner } from "../../src/membership/choose_partner.ts";
import type { Directory } from "../../src/membership/directory.ts";
import { tick } from "../../src/membership/tick.ts";
import { runExchange } from "./run_exchange.ts";

type Round = {
  all: Directory[];
  positions: ReadonlyMap<string, number>;
  peers: Map<string, string[]>;
  cost: { exchanges: number; messages: number; bytes: number };
  lossShare: number;
};

/**
 * Lets every daemon run one exchange, one after the other, so that news can
 * move more than one hop in a round, as with timers that are not in step.
 */
export function runRound(
  { all, positions, peers, cost, lossShare }: Round,
  now: number,
  random: Random,
): void {
  const lost = () => lossShare > 0 && random() < lossShare;
  for (const directory of all) {
    tick(directory, now);
    // The shared list stands for the cached one, which would not fit 14,000 times.
    if (directory.liveCount > 1) directory.peers = peers;
    const partner = choosePartner(directory, random, now);
    const two = partner === null ? undefined : all[positions.get(partner)!];
    if (two === undefined || two === directory) continue;
    runExchange([directory, two], { cost, lost }, now);
  }
}
