import type { CallOutcome } from "../calls/call_outcome.ts";
import type { CallReport } from "../calls/call_report.ts";
import type { CallRequest } from "../calls/call_request.ts";
import type { Peer } from "./peer.ts";
import type { PeerIndex } from "./peer_index.ts";

/** The links of this daemon to all others. */
export type Mesh = {
  peers: ReadonlyMap<string, Peer>;
  /** The peers by their services; another object once one has changed. */
  index(): PeerIndex;
  /** Learns the address of a daemon and connects to it. */
  addPeer(address: string): void;
  /** Sends this daemon's entry to all that have a link to it. */
  announce(): void;
  /** Tells how the own server does to those that must know. */
  reportLoad(load: number, runMs: number): void;
  /** Hands the configuration to the daemons of the own data centre. */
  shareConfiguration(): void;
  /** Tells them that a version is the newest in the platform's store. */
  confirmConfiguration(version: number): void;
  /** Asks one daemon for the configuration if it is newer than a version. */
  requestConfiguration(version: number): void;
  /**
   * Sends a call; the outcome comes once. `onSilence` tells that the link owes
   * an answer to a ping, so that the outcome may take long or never come.
   * Returns a function that cancels the call, after which neither comes.
   */
  call(
    peer: Peer,
    request: CallRequest,
    onOutcome: (outcome: CallOutcome, report: CallReport | null) => void,
    onSilence: () => void,
  ): () => void;
  /** Whether nothing waits to be sent to other daemons. */
  idle(): boolean;
  /** Checks links for silence and opens lost ones again. */
  tick(): void;
};
