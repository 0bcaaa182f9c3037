import type { Directory } from "./directory.ts";

/**
 * Sends per news item and daemon, times log2 of the members. Push-pull reaches
 * nearly all with this; digests repair the rest.
 */
const SENDS_PER_LOG = 1;
const MIN_SENDS = 3;

/** Notes that others have to be told about a member. */
export function queueUpdate(directory: Directory, address: string): void {
  const sends = Math.ceil(SENDS_PER_LOG * Math.log2(directory.liveCount + 1));
  directory.updates.set(address, Math.max(MIN_SENDS, sends));
}
