/**
 * Returns the key of a level. A daemon reports another level to a department
 * below its fair share, so levels of departments must not replace each other.
 */
export function levelKey(
  place: { daemon: string; department?: string | undefined },
): string {
  return place.department === undefined
    ? place.daemon
    : `${place.daemon} ${place.department}`;
}
