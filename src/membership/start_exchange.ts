import type { Directory } from "./directory.ts";
import type { ExchangeRequest } from "./exchange_request.ts";
import { MESSAGE_BYTES } from "./message_bytes.ts";
import { packReport } from "./pack_report.ts";
import type { RulesVersion } from "./rules_version.ts";
import { takeUpdates } from "./take_updates.ts";

/**
 * Returns the first request of an exchange. It includes any verdict on the
 * partner, so that the partner can refute it.
 */
export function startExchange(
  directory: Directory,
  { rules, partner }: { rules: RulesVersion; partner: string },
): ExchangeRequest {
  const { address, dataCentre } = directory.identity;
  const known = directory.members.get(partner);
  const reports = known && known.verdict > 0 ? [packReport(known)] : [];
  const exclude = new Set(reports.map(([suspect]) => suspect));
  const bytes = MESSAGE_BYTES.updates;
  return {
    stage: 1,
    from: address,
    dataCentre,
    digest: directory.digest,
    reports: [...reports, ...takeUpdates(directory, { exclude, bytes })],
    rules,
  };
}
