import type { Directory } from "./directory.ts";
import { isLive } from "./is_live.ts";
import { queueUpdate } from "./queue_update.ts";
import { putReport } from "./put_report.ts";
import type { Verdict } from "./verdict.ts";
import { updateSuspicionTimeout } from "./update_suspicion_timeout.ts";

/**
 * Raises the verdict on the current version of a member's entry. Returns
 * whether it was raised: the own entry and members that have departed or failed
 * are left unchanged.
 */
export function raiseVerdict(
  directory: Directory,
  { address, verdict }: { address: string; verdict: Verdict },
  now: number,
): boolean {
  const member = directory.members.get(address);
  if (member === undefined || !isLive(member)) return false;
  if (address === directory.identity.address) return false;
  if (member.verdict >= verdict) return false;
  const report = { entry: member.entry, verdict };
  putReport(directory, report, now);
  queueUpdate(directory, address);
  updateSuspicionTimeout(directory, report, now);
  return true;
}
