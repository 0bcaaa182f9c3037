import type { Mesh } from "../mesh/mesh.ts";
import type { Peer } from "../mesh/peer.ts";
import type { Instrument } from "../metrics/instrument.ts";

const STATES = ["connected", "suspect", "disconnected"] as const;

/** Metrics of the links to other daemons. */
export function peerInstruments({ peers }: Mesh): Instrument[] {
  return [{
    type: "gauge",
    name: "peers",
    help: "Other daemons by the state of the link to them.",
    read() {
      const counts = new Map<string, number>();
      for (const peer of peers.values()) {
        const state = stateOf(peer);
        counts.set(state, (counts.get(state) ?? 0) + 1);
      }
      return STATES.map((state) => ({
        labels: { state },
        value: counts.get(state) ?? 0,
      }));
    },
  }, {
    type: "gauge",
    name: "peer_calls_in_flight",
    help: "Calls to other daemons without an outcome.",
    read() {
      let calls = 0;
      for (const peer of peers.values()) calls += peer.calls.size;
      return calls;
    },
  }];
}

function stateOf({ entry, suspect }: Peer): (typeof STATES)[number] {
  if (entry === null) return "disconnected";
  return suspect ? "suspect" : "connected";
}
