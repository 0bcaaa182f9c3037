import type { Backend } from "../backend/backend.ts";
import type { Mesh } from "../mesh/mesh.ts";
import type { Candidate } from "../origin/candidate.ts";
import type { Forwarder } from "../origin/forwarder.ts";
import { SELF_ADDRESS } from "./self_address.ts";

// A server that has just started is slow; its load counts for this much more.
const COLD_FACTOR = 2;

/** Joins the own backend server and those behind other daemons. */
export function createForwarder(
  { service, dataCentre, backend, mesh }: {
    service: string;
    dataCentre: string;
    backend: Backend;
    mesh: Mesh;
  },
): Forwarder {
  return {
    candidates(wanted) {
      const candidates: Candidate[] = [];
      const own = backend.registration();
      if (wanted === service && own !== null && backend.available()) {
        candidates.push({
          address: SELF_ADDRESS,
          serverId: own.id,
          dataCentre,
          load: backend.load(),
        });
      }
      for (
        const { address, entry, link, load, sentSince } of mesh.peers.values()
      ) {
        if (entry === null || link === null || entry.service !== wanted) {
          continue;
        }
        const { server } = entry;
        if (server === null || server.leaving) continue;
        const estimate = load + sentSince / server.slots;
        candidates.push({
          address,
          serverId: server.id,
          dataCentre: entry.dataCentre,
          load: server.cold ? COLD_FACTOR * estimate : estimate,
        });
      }
      return candidates;
    },
    send({ address }, request, onOutcome) {
      if (address === SELF_ADDRESS) return backend.serve(request, onOutcome);
      const peer = mesh.peers.get(address);
      if (peer !== undefined) return mesh.call(peer, request, onOutcome);
      onOutcome({ kind: "not-run", reason: "no-server", arrived: false }, null);
      return () => {};
    },
  };
}
