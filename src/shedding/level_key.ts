/**
 * Returns the key under which a reported level is stored. A daemon reports a
 * different level to a department below its fair share, so the levels of
 * departments are kept apart.
 */
export function levelKey(
  origin: { daemon: string; department?: string | undefined },
): string {
  return origin.department === undefined
    ? origin.daemon
    : `${origin.daemon} ${origin.department}`;
}
