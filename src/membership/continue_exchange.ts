import { BUCKET_COUNT } from "./bucket_count.ts";
import type { Directory } from "./directory.ts";
import type { ExchangeRequest } from "./exchange_request.ts";
import type { ExchangeResponse } from "./exchange_response.ts";
import { mergeMessage } from "./merge_message.ts";
import type { MessageReports } from "./message_reports.ts";
import { missingReports } from "./missing_reports.ts";
import { shouldSpread } from "./should_spread.ts";

/** Data centres whose buckets are compared in one exchange, about 1 KB each. */
const MAX_COMPARED_DATA_CENTRES = 3;

type RoundTrip = { request: ExchangeRequest; response: ExchangeResponse };
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
 * Merges the response to a request and returns the next request of the
 * exchange, for the same partner, or null at the end. An exchange has at most
 * three requests.
 */
export function continueExchange(
  directory: Directory,
  { request, response }: RoundTrip,
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
  const differing = digests === undefined
    ? []
    : differingDataCentres(directory, digests);
  if (differing.length > 0) {
    const buckets = differing.slice(0, MAX_COMPARED_DATA_CENTRES)
      .map((name): [string, number[]] => [name, bucketsOf(directory, name)]);
    return { stage: 2, reports: corrections, buckets };
  }
  if (corrections.length === 0) return null;
  return { stage: 3, reports: corrections };
}

/**
 * Returns the names of data centres whose digests differ, the own one first.
 */
function differingDataCentres(
  { dataCentreDigests, identity }: Directory,
  digests: [string, number][],
): string[] {
  const remoteDigests = new Map(digests);
  const names = new Set([
    identity.dataCentre,
    ...remoteDigests.keys(),
    ...dataCentreDigests.keys(),
  ]);
  return [...names].filter((name) =>
    (remoteDigests.get(name) ?? 0) !==
      (dataCentreDigests.get(name)?.digest ?? 0)
  );
}

function bucketsOf(
  { dataCentreDigests }: Directory,
  name: string,
): number[] {
  const local = dataCentreDigests.get(name);
  return local ? [...local.buckets] : new Array(BUCKET_COUNT).fill(0);
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
