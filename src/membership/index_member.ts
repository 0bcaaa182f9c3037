import type { Directory } from "./directory.ts";
import { isLive } from "./is_live.ts";
import type { Member } from "./member.ts";

/** Moves a changed member between services and drops the lists it changes. */
export function indexMember(
  directory: Directory,
  old: Member | undefined,
  member: Member,
): void {
  const { serviceIndex: offers } = directory;
  if (offers === null) return;
  const from = old && serviceOf(old);
  const to = serviceOf(member);
  const { address } = member.entry;
  if (from !== undefined && from !== to) {
    const offer = offers.get(from);
    offer?.members.delete(address);
    if (offer !== undefined) offer.candidates = null;
    if (offer?.members.size === 0) offers.delete(from);
  }
  if (to === undefined) return;
  let offer = offers.get(to);
  if (offer === undefined) {
    offer = { members: new Map(), candidates: null };
    offers.set(to, offer);
  }
  offer.members.set(address, member);
  if (from !== to || keyOf(old!) !== keyOf(member)) offer.candidates = null;
}

function serviceOf(member: Member): string | undefined {
  if (!isLive(member) || member.entry.state !== "up") return undefined;
  return member.entry.server?.service;
}

function keyOf({ entry, since }: Member): string {
  const { server, dataCentre, instance, sequence } = entry;
  const { slots, warmupMs } = server ?? {};
  return `${dataCentre} ${slots} ${warmupMs} ${since} ${instance} ${sequence}`;
}
