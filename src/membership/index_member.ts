import type { Directory } from "./directory.ts";
import { isLive } from "./is_live.ts";
import type { Member } from "./member.ts";

/**
 * Moves a changed member between services in the index and invalidates the
 * affected lists of candidates.
 */
export function indexMember(
  directory: Directory,
  old: Member | undefined,
  member: Member,
): void {
  const { serviceIndex } = directory;
  if (serviceIndex === null) return;
  const from = old && serviceOf(old);
  const to = serviceOf(member);
  const { address } = member.entry;
  if (from !== undefined && from !== to) {
    const indexed = serviceIndex.get(from);
    indexed?.members.delete(address);
    if (indexed !== undefined) indexed.candidates = null;
    if (indexed?.members.size === 0) serviceIndex.delete(from);
  }
  if (to === undefined) return;
  let indexed = serviceIndex.get(to);
  if (indexed === undefined) {
    indexed = { members: new Map(), candidates: null };
    serviceIndex.set(to, indexed);
  }
  indexed.members.set(address, member);
  if (from !== to || keyOf(old!) !== keyOf(member)) indexed.candidates = null;
}

function serviceOf(member: Member): string | undefined {
  if (!isLive(member) || member.entry.state !== "up") return undefined;
  return member.entry.server?.service;
}

/** Returns a key of all that the `Candidate` of a member depends on. */
function keyOf({ entry, since }: Member): string {
  const { server, dataCentre, instance, sequence } = entry;
  const { slots, warmupMs } = server ?? {};
  return `${dataCentre} ${slots} ${warmupMs} ${since} ${instance} ${sequence}`;
}
