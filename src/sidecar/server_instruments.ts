import type { Backend } from "../backend/backend.ts";
import type { Instrument } from "../metrics/instrument.ts";

const MS_PER_S = 1_000;
const STATES = ["unknown", "leaving", "available", "unavailable"] as const;

/** Metrics of the local backend server and of the requests queued for it. */
export function serverInstruments(
  backend: Backend,
  steadyTime: () => number,
): Instrument[] {
  return [
    {
      type: "gauge",
      name: "server_state",
      help: "1 for the state of the own server, 0 for the others.",
      read() {
        const current = stateOf(backend);
        return STATES.map((state) => ({
          labels: { state },
          value: Number(state === current),
        }));
      },
    },
    {
      type: "gauge",
      name: "server_load",
      unit: "ratio",
      help: "Requests that run at the own server or wait for it, by the limit.",
      read: () => backend.load(),
    },
    {
      type: "gauge",
      name: "server_slots",
      help: "Slots of the own server as it announced them.",
      read: () => backend.registration()?.slots ?? 0,
    },
    {
      type: "gauge",
      name: "server_requests_limit",
      help: "Most requests that run at the own server at once.",
      read: () => backend.occupancy().limit,
    },
    {
      type: "gauge",
      name: "server_requests_running",
      help: "Requests that run at the own server, for whomever.",
      read: () => backend.occupancy().running,
    },
    {
      type: "gauge",
      name: "server_requests_waiting",
      help: "Requests that wait for the own server, for whomever.",
      read: () => backend.occupancy().waiting,
    },
    {
      type: "gauge",
      name: "server_run_mean",
      unit: "seconds",
      help: "Mean time of the latest runs at the own server.",
      read: () => backend.meanRunMs() / MS_PER_S,
    },
    {
      type: "gauge",
      name: "server_heard_age",
      unit: "seconds",
      help: "Time since the last heartbeat or answer of the own server.",
      read() {
        const server = backend.registration();
        return server && (steadyTime() - server.heardAt) / MS_PER_S;
      },
    },
  ];
}

function stateOf(backend: Backend): (typeof STATES)[number] {
  const server = backend.registration();
  if (server === null) return "unknown";
  if (server.leaving) return "leaving";
  return backend.available() ? "available" : "unavailable";
}
