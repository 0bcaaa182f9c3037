import { putReport } from "./put_report.ts";
import type { Directory } from "./directory.ts";

/** Removes a member without leaving a tombstone. */
export function dropMember(
  directory: Directory,
  address: string,
  now: number,
): void {
  const member = directory.members.get(address);
  if (member === undefined) return;
  // Storing it as failed first removes it from digests and cached lists.
  putReport(directory, { entry: member.entry, verdict: 2 }, now);
  directory.members.delete(address);
  directory.tombstones.delete(address);
  directory.suspicionDeadlines.delete(address);
  directory.updates.delete(address);
}
