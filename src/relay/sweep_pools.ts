import type { Relay } from "./relay.ts";

/**
 * Closes the connections to daemons that the directory no longer lists. In a
 * fleet that replaces VMs every day, unused pools would otherwise accumulate.
 */
export function sweepPools(
  relay: Relay,
  isMember: (address: string) => boolean,
): void {
  for (const pools of [relay.peerPools, relay.tokenPools]) {
    for (const [address, pool] of pools) {
      const { running, pending } = pool.stats;
      if (isMember(address) || running > 0 || pending > 0) continue;
      pools.delete(address);
      pool.close();
    }
  }
}
