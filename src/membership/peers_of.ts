import type { Directory } from "./directory.ts";
import { isLive } from "./is_live.ts";

/** Returns the addresses of the other live daemons by data centre; cached. */
export function peersOf(directory: Directory): ReadonlyMap<string, string[]> {
  if (directory.peers !== null) return directory.peers;
  const peers = new Map<string, string[]>();
  for (const member of directory.members.values()) {
    const { address, dataCentre } = member.entry;
    if (!isLive(member) || address === directory.identity.address) continue;
    const list = peers.get(dataCentre);
    if (list === undefined) peers.set(dataCentre, [address]);
    else list.push(address);
  }
  directory.peers = peers;
  return peers;
}
