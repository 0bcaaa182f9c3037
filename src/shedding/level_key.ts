/**
 * Returns the key under which a reported level is stored. A daemon reports a
 * different level to a department below its fair share, so the levels of
 * departments are kept apart.
 */
export function levelKey(
  reporter: { daemon: string; department?: string | undefined },
): string {
  return reporter.department === undefined
    ? reporter.daemon
    : `${reporter.daemon} ${reporter.department}`;
}
