import type { Directory } from "./directory.ts";
import { peersOf } from "./peers_of.ts";

/**
 * Distinct daemons of a data centre that must fail to answer in a row before it
 * counts as unreachable.
 */
const MIN_FAILED = 3;

/** The result of a message to a daemon, or the receipt of one from it. */
type Contact = { address: string; dataCentre: string; reached: boolean };

/**
 * Records whether a daemon could be reached. A data centre is unreachable for
 * this daemon once `MIN_FAILED` distinct members of it (or all, if fewer)
 * failed to answer without a success in between; a single success makes all of
 * it reachable again.
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
    if (directory.unreachable.delete(dataCentre)) dropCandidates(directory);
    return;
  }
  if (directory.unreachable.has(dataCentre)) return;
  const failed = directory.failedSinceContact.get(dataCentre) ?? new Set();
  directory.failedSinceContact.set(dataCentre, failed.add(address));
  if (failed.size < Math.min(MIN_FAILED, liveIn(directory, dataCentre))) return;
  directory.failedSinceContact.delete(dataCentre);
  directory.unreachable.set(dataCentre, now);
  dropCandidates(directory);
}

function liveIn(directory: Directory, dataCentre: string): number {
  return peersOf(directory).get(dataCentre)?.length ?? 0;
}

function dropCandidates({ serviceIndex }: Directory): void {
  for (const indexed of serviceIndex?.values() ?? []) indexed.candidates = null;
}
