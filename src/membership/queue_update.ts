import type { Directory } from "./directory.ts";

/**
 * Number of times that each daemon sends an update, per log2 of the members.
 * With this, push-pull reaches nearly all members; digests repair the rest.
 */
const SENDS_PER_LOG = 1;
const MIN_SENDS = 3;

/** Queues the report on a member for sending to other daemons. */
export function queueUpdate(directory: Directory, address: string): void {
  const sends = Math.ceil(SENDS_PER_LOG * Math.log2(directory.liveCount + 1));
  directory.updates.set(address, Math.max(MIN_SENDS, sends));
}
