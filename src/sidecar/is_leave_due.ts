import type { StopPlan } from "./stop_plan.ts";

// A server that comes into use is known to all daemons within this time, in
// which they try its address again.
const FOUND_MS = 600;

/**
 * Whether a stopping daemon takes its server out of use at a steady time in ms.
 * The last server of a service stays as long as the daemon can; others stay
 * until the own clients have their answers, which holds up the restart anyway.
 */
export function isLeaveDue(
  { refuseAt, leaveLatestAt }: Pick<StopPlan, "refuseAt" | "leaveLatestAt">,
  now: number,
  { clients, othersSince }: {
    /** Requests of clients without an answer. */
    clients: number;
    /** Since when another server of the service is in use; null if none is. */
    othersSince: number | null;
  },
): boolean {
  if (now >= leaveLatestAt) return true;
  return now >= refuseAt && clients === 0 && othersSince !== null &&
    now - othersSince >= FOUND_MS;
}
