import type { DaemonEntry } from "./daemon_entry.ts";
import type { Peer } from "./peer.ts";
import type { PeerIndex } from "./peer_index.ts";

type Server = NonNullable<DaemonEntry["server"]>;

/** Indexes the peers that have sent their entry, by service. */
export function indexPeers(peers: Iterable<Peer>): PeerIndex {
  const serving = new Map<
    string,
    { peer: Peer; dataCentre: string; server: Server }[]
  >();
  const services = new Set<string>();
  const entries: DaemonEntry[] = [];
  for (const peer of peers) {
    if (peer.entry === null) continue;
    entries.push(peer.entry);
    const { service, dataCentre, server } = peer.entry;
    services.add(service);
    if (server === null || server.leaving) continue;
    const others = serving.get(service) ?? [];
    others.push({ peer, dataCentre, server });
    serving.set(service, others);
  }
  return { serving, services, entries };
}
