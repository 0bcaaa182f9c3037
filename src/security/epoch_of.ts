/** Returns the epoch of a recipient; generation 0 follows from its directory entry. */
export function epochOf(
  { instance, generation }: { instance: string; generation: number },
): string {
  return `${instance}.${generation}`;
}
