/**
 * Returns the epoch of a recipient. Senders derive the one of generation 0 from
 * its directory entry.
 */
export function epochOf(
  { instance, generation }: { instance: string; generation: number },
): string {
  return `${instance}.${generation}`;
}
