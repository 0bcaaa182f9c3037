import { bucketOf } from "./bucket_of.ts";
import type { Directory } from "./directory.ts";
import type { ExchangeResponse } from "./exchange_response.ts";
import { isLive } from "./is_live.ts";
import { MESSAGE_BYTES } from "./message_bytes.ts";
import type { MessageReports } from "./message_reports.ts";
import { packReport } from "./pack_report.ts";

/**
 * Returns the live entries of the partner's differing buckets that are missing
 * in its response.
 */
export function missingReports(
  directory: Directory,
  { reports, differing = [] }: ExchangeResponse,
): MessageReports {
  const received = new Set(reports.map(([address]) => address));
  const buckets = new Set(
    differing.flatMap(([name, indexes]) =>
      indexes.map((index) => `${name} ${index}`)
    ),
  );
  const missing: MessageReports = [];
  let remainingBytes: number = MESSAGE_BYTES.repair;
  if (buckets.size === 0) return missing;
  for (const member of directory.members.values()) {
    const { address, dataCentre } = member.entry;
    if (!isLive(member) || received.has(address)) continue;
    if (!buckets.has(`${dataCentre} ${bucketOf(address)}`)) continue;
    if (member.bytes > remainingBytes) break;
    remainingBytes -= member.bytes;
    missing.push(packReport(member));
  }
  return missing;
}
