import type { StopPlan } from "./stop_plan.ts";

// Within this time, all daemons discover a server that has become available. It
// is longer than the interval at which they retry connecting to its daemon.
const DISCOVERY_MS = 600;

/**
 * Whether a stopping daemon marks its server as leaving at a steady time in ms.
 * The last available server of a service stays until the latest time. Others
 * stay until the daemon's own clients have their responses: the restart waits
 * for these anyway, and the server would only be idle meanwhile.
 */
export function isLeaveDue(
  { refuseAt, leaveLatestAt }: Pick<StopPlan, "refuseAt" | "leaveLatestAt">,
  now: number,
  { clients, othersAvailableSince }: {
    /** Client requests without a response. */
    clients: number;
    /**
     * Steady time in ms since which another server of the service is available;
     * null if none is.
     */
    othersAvailableSince: number | null;
  },
): boolean {
  if (now >= leaveLatestAt) return true;
  return now >= refuseAt && clients === 0 && othersAvailableSince !== null &&
    now - othersAvailableSince >= DISCOVERY_MS;
}
