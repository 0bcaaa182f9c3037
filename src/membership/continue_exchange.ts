import { BUCKET_COUNT } from "./bucket_count.ts";
import type { Directory } from "./directory.ts";
import type { ExchangeRequest } from "./exchange_request.ts";
import type { ExchangeResponse } from "./exchange_response.ts";
import { mergeMessage } from "./merge_message.ts";
import type { MessageReports } from "./message_reports.ts";
import { missingReports } from "./missing_reports.ts";
import { shouldSpread } from "./should_spread.ts";

/** Data centres whose buckets are compared in one exchange, about 1 KB each. */
const MAX_REPAIRED = 3;

type Leg = { request: ExchangeRequest; response: ExchangeResponse };
type Next = Pick<ExchangeRequest, "stage" | "reports" | "buckets"> | null;

const FOLLOW_UPS: Record<
  ExchangeRequest["stage"],
  (
    directory: Directory,
    response: ExchangeResponse,
    corrections: MessageReports,
  ) => Next
> = {
  1: compareDigests,
  2: sendMissing,
  3: () => null,
};

/**
 * Merges the answer to a leg and returns the request of the next one, to be
 * sent to the same partner, or null at the end. There are at most three legs.
 */
export function continueExchange(
  directory: Directory,
  { request, response }: Leg,
  now: number,
): ExchangeRequest | null {
  const { reports } = response;
  const spread = request.stage === 1 || shouldSpread(reports);
  const corrections = mergeMessage(directory, { reports, spread }, now);
  const next = FOLLOW_UPS[request.stage](directory, response, corrections);
  if (next === null) return null;
  return { ...request, digest: directory.digest, ...next };
}

function compareDigests(
  directory: Directory,
  { digests }: ExchangeResponse,
  corrections: MessageReports,
): Next {
  const differing = digests === undefined ? [] : differ(directory, digests);
  if (differing.length > 0) {
    const buckets = differing.slice(0, MAX_REPAIRED)
      .map((name): [string, number[]] => [name, bucketsOf(directory, name)]);
    return { stage: 2, reports: corrections, buckets };
  }
  if (corrections.length === 0) return null;
  return { stage: 3, reports: corrections };
}

/** Names the data centres whose digests differ, the own one first. */
function differ(
  { dataCentreDigests: centres, identity }: Directory,
  digests: [string, number][],
): string[] {
  const theirs = new Map(digests);
  const names = new Set([
    identity.dataCentre,
    ...theirs.keys(),
    ...centres.keys(),
  ]);
  return [...names].filter((name) =>
    (theirs.get(name) ?? 0) !== (centres.get(name)?.digest ?? 0)
  );
}

function bucketsOf(
  { dataCentreDigests: centres }: Directory,
  name: string,
): number[] {
  const centre = centres.get(name);
  return centre ? [...centre.buckets] : new Array(BUCKET_COUNT).fill(0);
}

function sendMissing(
  directory: Directory,
  response: ExchangeResponse,
  corrections: MessageReports,
): Next {
  const missing = missingReports(directory, response);
  const reports = [...corrections, ...missing];
  return reports.length === 0
    ? null
    : { stage: 3, reports, buckets: undefined };
}
