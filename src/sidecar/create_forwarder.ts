import type { Backend } from "../backend/backend.ts";
import type { CallOutcome } from "../calls/call_outcome.ts";
import type { Mesh } from "../mesh/mesh.ts";
import type { Candidate } from "../origin/candidate.ts";
import type { Forwarder } from "../origin/forwarder.ts";
import { failureRate } from "../origin/failure_rate.ts";
import type { Observation } from "../origin/observation.ts";
import { recordResult } from "../origin/record_result.ts";
import { SELF_ADDRESS } from "./self_address.ts";

// A server that has just started is slower, so its load is scaled by this.
const COLD_LOAD_FACTOR = 2;
const SERVER_ERROR = 500;
const DEADLINE_EXCEEDED = 504;

/** Forwards requests to the local backend server or to other daemons. */
export function createForwarder(
  { service, dataCentre, backend, mesh, steadyTime }: {
    service: string;
    dataCentre: string;
    backend: Backend;
    mesh: Mesh;
    steadyTime: () => number;
  },
): Forwarder {
  const observations = new Map<string, Observation>();
  const recordOutcome = (
    { address, serverId }: Candidate,
    outcome: CallOutcome,
  ) => {
    const failed = IS_FAILURE[outcome.kind](outcome as never);
    if (failed === null) return;
    const previous = observations.get(address);
    observations.set(
      address,
      recordResult(previous, serverId, failed, steadyTime()),
    );
  };
  return {
    candidates(requestedService) {
      const now = steadyTime();
      const candidates: Candidate[] = [];
      const localServer = backend.registration();
      if (
        requestedService === service && localServer !== null &&
        backend.available()
      ) {
        candidates.push({
          address: SELF_ADDRESS,
          serverId: localServer.id,
          dataCentre,
          load: backend.load(),
          runMs: backend.meanRunMs(),
          failureRate: failureRate(
            observations.get(SELF_ADDRESS),
            localServer.id,
            now,
          ),
        });
      }
      const remoteServers = mesh.index().serving.get(requestedService) ?? [];
      const anyResponsive = candidates.length > 0 ||
        remoteServers.some(({ peer }) => !peer.suspect);
      for (const { peer, dataCentre, server } of remoteServers) {
        if (peer.suspect && anyResponsive) continue;
        const { address, load, runMs, callsSinceReport } = peer;
        const estimatedLoad = load + callsSinceReport / server.slots;
        candidates.push({
          address,
          serverId: server.id,
          dataCentre,
          load: server.cold ? COLD_LOAD_FACTOR * estimatedLoad : estimatedLoad,
          runMs,
          failureRate: failureRate(observations.get(address), server.id, now),
        });
      }
      return candidates;
    },
    send(candidate, request, onOutcome, onSilence) {
      const settle: typeof onOutcome = (outcome, report) => {
        recordOutcome(candidate, outcome);
        onOutcome(outcome, report);
      };
      const { address } = candidate;
      if (address === SELF_ADDRESS) return backend.serve(request, settle);
      const peer = mesh.peers.get(address);
      if (peer !== undefined) {
        return mesh.call(peer, request, settle, onSilence);
      }
      onOutcome({ kind: "not-run", reason: "no-server", arrived: false }, null);
      return () => {};
    },
  };
}

/**
 * Whether an outcome counts as a failure of the server; null if it tells
 * nothing about the server.
 */
const IS_FAILURE: {
  [Kind in CallOutcome["kind"]]: (
    outcome: Extract<CallOutcome, { kind: Kind }>,
  ) => boolean | null;
} = {
  answered: ({ status }) =>
    status === DEADLINE_EXCEEDED ? null : status >= SERVER_ERROR,
  "not-run": ({ arrived }) => arrived ? true : null,
  unknown: () => true,
};
