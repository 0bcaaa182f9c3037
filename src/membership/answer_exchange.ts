import { answerBuckets } from "./answer_buckets.ts";
import type { Directory } from "./directory.ts";
import type { ExchangeRequest } from "./exchange_request.ts";
import type { ExchangeResponse } from "./exchange_response.ts";
import { mergeMessage } from "./merge_message.ts";
import { MESSAGE_BYTES } from "./message_bytes.ts";
import type { MessageReports } from "./message_reports.ts";
import { recordContact } from "./record_contact.ts";
import { packReport } from "./pack_report.ts";
import type { RulesVersion } from "./rules_version.ts";
import { shouldSpread } from "./should_spread.ts";
import { takeUpdates } from "./take_updates.ts";

type Answer = Omit<ExchangeResponse, "rules">;

const HANDLERS: Record<
  ExchangeRequest["stage"],
  (
    directory: Directory,
    request: ExchangeRequest,
    corrections: MessageReports,
  ) => Answer
> = {
  1: answerUpdates,
  2: answerBuckets,
  3: (_directory, _request, corrections) => ({ reports: corrections }),
};

/** Merges one request of an exchange and returns the response to it. */
export function answerExchange(
  directory: Directory,
  request: ExchangeRequest,
  { rules }: { rules: RulesVersion },
  now: number,
): ExchangeResponse {
  const { from, dataCentre, stage, reports } = request;
  recordContact(directory, { address: from, dataCentre, reached: true }, now);
  const spread = stage === 1 || shouldSpread(reports);
  const corrections = mergeMessage(directory, { reports, spread }, now);
  return { ...HANDLERS[stage](directory, request, corrections), rules };
}

function answerUpdates(
  directory: Directory,
  request: ExchangeRequest,
  corrections: MessageReports,
): Answer {
  const reports = [...corrections];
  const exclude = new Set(request.reports.map(([address]) => address));
  const sender = directory.members.get(request.from);
  // Tells the sender that it is suspected or declared failed, so that it can
  // refute the verdict.
  if (
    sender !== undefined && sender.verdict > 0 && !exclude.has(request.from)
  ) {
    reports.push(packReport(sender));
    exclude.add(request.from);
  }
  const bytes = MESSAGE_BYTES.updates;
  reports.push(...takeUpdates(directory, { exclude, bytes }));
  if (directory.digest === request.digest) return { reports };
  const digests = [...directory.dataCentreDigests]
    .map(([name, { digest }]): [string, number] => [name, digest]);
  return { reports, digests };
}
