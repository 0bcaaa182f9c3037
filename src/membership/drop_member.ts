import { putReport } from "./put_report.ts";
import type { Directory } from "./directory.ts";

/** Forgets a member altogether, as if it had never been heard of. */
export function dropMember(
  directory: Directory,
  address: string,
  now: number,
): void {
  const member = directory.members.get(address);
  if (member === undefined) return;
  // Taking it as failed first removes it from digests and cached lists.
  putReport(directory, { entry: member.entry, verdict: 2 }, now);
  directory.members.delete(address);
  directory.tombstones.delete(address);
  directory.suspicionDeadlines.delete(address);
  directory.updates.delete(address);
}
