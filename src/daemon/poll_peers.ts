import { peerPool } from "../relay/peer_pool.ts";
import type { Relay } from "../relay/relay.ts";
import type { Candidate } from "../routing/candidate.ts";

/** Asks each peer of the settings which service it serves. */
export function pollPeers(
  relay: Relay,
  addresses: string[],
  peers: Map<string, Candidate & { service: string }>,
): void {
  for (const address of [relay.address, ...addresses]) {
    peerPool(relay, address).request({ method: "GET", path: "/-/entry" }).then(
      async ({ body }) => {
        const entry = await body.json() as Candidate & { service: string };
        if (entry === null) peers.delete(address);
        else peers.set(address, entry);
      },
      () => peers.delete(address),
    );
  }
}
