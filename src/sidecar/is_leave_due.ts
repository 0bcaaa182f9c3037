import type { StopPlan } from "./stop_plan.ts";

/**
 * Whether a stopping daemon takes its server out of use at a steady time in ms.
 * The last server of a service stays as long as the daemon can.
 */
export function isLeaveDue(
  { leaveAt, leaveLatestAt }: Pick<StopPlan, "leaveAt" | "leaveLatestAt">,
  now: number,
  othersServe: boolean,
): boolean {
  return now >= leaveLatestAt || (othersServe && now >= leaveAt);
}
