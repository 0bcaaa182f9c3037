import type { DaemonEntry } from "./daemon_entry.ts";
import type { Peer } from "./peer.ts";

type ServingPeer = {
  peer: Peer;
  dataCentre: string;
  server: NonNullable<DaemonEntry["server"]>;
};

/** Peers by what their entries say; built anew once one has changed. */
export type PeerIndex = {
  /** Peers whose backend servers take new work, by service. */
  serving: ReadonlyMap<string, readonly ServingPeer[]>;
  /** What the peers say of themselves. */
  entries: readonly DaemonEntry[];
  /** Services on the VMs of all peers. */
  services: ReadonlySet<string>;
};
