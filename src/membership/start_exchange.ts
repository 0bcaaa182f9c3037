import type { Directory } from "./directory.ts";
import type { ExchangeRequest } from "./exchange_request.ts";
import { MESSAGE_BYTES } from "./message_bytes.ts";
import { packReport } from "./pack_report.ts";
import type { RulesMark } from "./rules_mark.ts";
import { takeNews } from "./take_news.ts";

/**
 * Returns the first request of an exchange. It tells the partner what is held
 * against it, so that the partner can refute it.
 */
export function startExchange(
  directory: Directory,
  { rules, partner }: { rules: RulesMark; partner: string },
): ExchangeRequest {
  const { address, dataCentre } = directory.identity;
  const held = directory.members.get(partner);
  const reports = held && held.verdict > 0 ? [packReport(held)] : [];
  const exclude = new Set(reports.map(([suspect]) => suspect));
  const bytes = MESSAGE_BYTES.news;
  return {
    stage: 1,
    from: address,
    dataCentre,
    digest: directory.digest,
    reports: [...reports, ...takeNews(directory, { exclude, bytes })],
    rules,
  };
}
