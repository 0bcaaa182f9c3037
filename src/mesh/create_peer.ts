import type { Peer } from "./peer.ts";

/** Creates a peer to which no connection has been attempted. */
export function createPeer(address: string): Peer {
  return {
    address,
    entry: null,
    link: null,
    connecting: false,
    openedAt: -Infinity,
    departure: null,
    calls: new Map(),
    load: 0,
    runMs: 0,
    callsSinceReport: 0,
    downSince: null,
    retryAt: 0,
    suspect: false,
    pingedAt: null,
  };
}
