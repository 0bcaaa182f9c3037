import type { PackedReport } from "./packed_report.ts";
import type { Report } from "./report.ts";

/** Returns the report that a message carries. */
export function unpackReport(packed: PackedReport): Report {
  const [address, dataCentre, incarnation, sequence, state, instance] = packed;
  const [, , , , , , server, verdict] = packed;
  return {
    entry: {
      address,
      dataCentre,
      incarnation,
      sequence,
      state,
      instance,
      server: server &&
        { service: server[0], slots: server[1], warmupMs: server[2] },
    },
    verdict,
  };
}
