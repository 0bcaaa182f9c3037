import type { CallOutcome } from "../calls/call_outcome.ts";
import type { CallReport } from "../calls/call_report.ts";
import type { CallRequest } from "../calls/call_request.ts";
import type { Peer } from "./peer.ts";
import type { PeerIndex } from "./peer_index.ts";

/** The links between this daemon and all others. */
export type Mesh = {
  peers: ReadonlyMap<string, Peer>;
  /** Index of the peers; a new object whenever one of them has changed. */
  index(): PeerIndex;
  /** Adds the daemon at an address and connects to it. */
  addPeer(address: string): void;
  /** Sends this daemon's entry to all daemons that have a link to it. */
  announce(): void;
  /** Reports the load of the own backend server to the peers due for it. */
  reportLoad(load: number, runMs: number): void;
  /** Sends the configuration to the daemons of the own data centre. */
  shareConfiguration(): void;
  /**
   * Tells the daemons of the own data centre which version is the newest in
   * the platform's store.
   */
  confirmConfiguration(version: number): void;
  /** Requests a configuration newer than `version` from a random daemon. */
  requestConfiguration(version: number): void;
  /**
   * Sends a call. `onOutcome` is called once. `onSuspect` is called when the
   * peer leaves a ping unanswered: the outcome may then be late, or unknown.
   * Returns a function that cancels the call; neither is called after that.
   */
  call(
    peer: Peer,
    request: CallRequest,
    onOutcome: (outcome: CallOutcome, report: CallReport | null) => void,
    onSuspect: () => void,
  ): () => void;
  /** Whether all data for other daemons has been sent. */
  idle(): boolean;
  /** Closes links that have timed out and reconnects lost ones. */
  tick(): void;
};
