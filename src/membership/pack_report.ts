import type { PackedReport } from "./packed_report.ts";
import type { Report } from "./report.ts";

/** Returns a report as it is sent in messages. */
export function packReport({ entry, verdict }: Report): PackedReport {
  const { server } = entry;
  return [
    entry.address,
    entry.dataCentre,
    entry.incarnation,
    entry.sequence,
    entry.state,
    entry.instance,
    server && [server.service, server.slots, server.warmupMs],
    verdict,
  ];
}
