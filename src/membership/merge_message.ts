import type { Directory } from "./directory.ts";
import { mergeReports } from "./merge_reports.ts";
import type { MessageReports } from "./message_reports.ts";
import { packReport } from "./pack_report.ts";
import { unpackReport } from "./unpack_report.ts";

/**
 * Corrections per message. A sender that is far out of date is repaired over
 * several messages.
 */
const MAX_CORRECTIONS = 256;

/**
 * Merges the reports of a message. Returns corrections for the sender: the
 * stored reports on addresses for which it sent an older one.
 */
export function mergeMessage(
  directory: Directory,
  { reports, spread }: { reports: MessageReports; spread: boolean },
  now: number,
): MessageReports {
  const { stale } = mergeReports(
    directory,
    reports.map(unpackReport),
    now,
    { spread },
  );
  return stale.slice(0, MAX_CORRECTIONS)
    .map((address) => packReport(directory.members.get(address)!));
}
