import type { Backend } from "../backend/backend.ts";
import type { CallOutcome } from "../calls/call_outcome.ts";
import type { Mesh } from "../mesh/mesh.ts";
import type { Candidate } from "../origin/candidate.ts";
import type { Forwarder } from "../origin/forwarder.ts";
import { failureRate } from "../origin/failure_rate.ts";
import type { Observation } from "../origin/observation.ts";
import { recordResult } from "../origin/record_result.ts";
import { SELF_ADDRESS } from "./self_address.ts";

// A server that has just started is slow; its load counts for this much more.
const COLD_FACTOR = 2;
const SERVER_ERROR = 500;
const DEADLINE_EXCEEDED = 504;

/** Joins the own backend server and those behind other daemons. */
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
  const note = (
    { address, serverId }: Candidate,
    outcome: CallOutcome,
  ) => {
    const failed = FAILED[outcome.kind](outcome as never);
    if (failed === null) return;
    const before = observations.get(address);
    observations.set(
      address,
      recordResult(before, serverId, failed, steadyTime()),
    );
  };
  return {
    candidates(wanted) {
      const now = steadyTime();
      const candidates: Candidate[] = [];
      const own = backend.registration();
      if (wanted === service && own !== null && backend.available()) {
        candidates.push({
          address: SELF_ADDRESS,
          serverId: own.id,
          dataCentre,
          load: backend.load(),
          runMs: backend.meanRunMs(),
          failureRate: failureRate(observations.get(SELF_ADDRESS), own.id, now),
        });
      }
      const others = mesh.index().serving.get(wanted) ?? [];
      const anySound = candidates.length > 0 ||
        others.some(({ peer }) => !peer.suspect);
      for (const { peer, dataCentre, server } of others) {
        if (peer.suspect && anySound) continue;
        const { address, load, runMs, callsSinceReport: sentSince } = peer;
        const estimate = load + sentSince / server.slots;
        candidates.push({
          address,
          serverId: server.id,
          dataCentre,
          load: server.cold ? COLD_FACTOR * estimate : estimate,
          runMs,
          failureRate: failureRate(observations.get(address), server.id, now),
        });
      }
      return candidates;
    },
    send(candidate, request, onOutcome, onSilence) {
      const settle: typeof onOutcome = (outcome, report) => {
        note(candidate, outcome);
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

/** Whether an outcome speaks against the server; null where it says nothing. */
const FAILED: {
  [Kind in CallOutcome["kind"]]: (
    outcome: Extract<CallOutcome, { kind: Kind }>,
  ) => boolean | null;
} = {
  answered: ({ status }) =>
    status === DEADLINE_EXCEEDED ? null : status >= SERVER_ERROR,
  "not-run": ({ arrived }) => arrived ? true : null,
  unknown: () => true,
};
