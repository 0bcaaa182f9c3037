import type { DaemonEntry } from "./daemon_entry.ts";
import type { Peer } from "./peer.ts";

type ServingPeer = {
  peer: Peer;
  dataCentre: string;
  server: NonNullable<DaemonEntry["server"]>;
};

/** Snapshot of the peers by service; replaced when an entry changes. */
export type PeerIndex = {
  /** Peers whose backend servers accept new requests, by service. */
  serving: ReadonlyMap<string, readonly ServingPeer[]>;
  /** Entries of all connected peers. */
  entries: readonly DaemonEntry[];
  /** Services of all connected peers. */
  services: ReadonlySet<string>;
};
