import type { ClientConnections } from "../edge/client_connections.ts";
import type { Instrument } from "../metrics/instrument.ts";
import type { Origin } from "../origin/origin.ts";

const MS_PER_S = 1_000;

/** Metrics of open client connections and of requests without a reply. */
export function requestInstruments(
  origin: Origin,
  connections: ClientConnections,
): Instrument[] {
  return [
    {
      type: "gauge",
      name: "client_connections",
      help: "Open connections of clients and of the own server.",
      read: () => connections.size(),
    },
    {
      type: "gauge",
      name: "requests_in_flight",
      help: "Requests without a reply by where they came from.",
      read() {
        const { clients, nested } = origin.open();
        return [
          { labels: { from: "client" }, value: clients },
          { labels: { from: "server" }, value: nested },
        ];
      },
    },
    {
      type: "gauge",
      name: "request_oldest_age",
      unit: "seconds",
      help: "Age of the oldest request without a reply, 0 for none.",
      read: () => (origin.open().oldest?.ms ?? 0) / MS_PER_S,
    },
  ];
}
