import type { Directory } from "./directory.ts";
import { peersOf } from "./peers_of.ts";

/** Distinct daemons of a data centre that have to fail in a row. */
const SAMPLE = 3;

/** The result of one message to a daemon, or a message from one. */
type Contact = { address: string; dataCentre: string; reached: boolean };

/**
 * Notes whether a daemon could be reached. A data centre is unreachable for
 * this observer once `SAMPLE` distinct members of it (or all, if fewer) failed
 * with no success in between; one success brings all of it back.
 */
export function recordContact(
  directory: Directory,
  { address, dataCentre, reached }: Contact,
  now: number,
): void {
  if (reached) directory.contactAt = now;
  if (dataCentre === directory.identity.dataCentre) return;
  if (reached) {
    directory.dataCentreContactAt.set(dataCentre, now);
    directory.failedSinceContact.delete(dataCentre);
    if (directory.unreachable.delete(dataCentre)) dropLists(directory);
    return;
  }
  if (directory.unreachable.has(dataCentre)) return;
  const failing = directory.failedSinceContact.get(dataCentre) ?? new Set();
  directory.failedSinceContact.set(dataCentre, failing.add(address));
  if (failing.size < Math.min(SAMPLE, liveIn(directory, dataCentre))) return;
  directory.failedSinceContact.delete(dataCentre);
  directory.unreachable.set(dataCentre, now);
  dropLists(directory);
}

function liveIn(directory: Directory, dataCentre: string): number {
  return peersOf(directory).get(dataCentre)?.length ?? 0;
}

function dropLists({ serviceIndex: offers }: Directory): void {
  for (const offer of offers?.values() ?? []) offer.candidates = null;
}
