import { BUCKET_COUNT } from "./bucket_count.ts";
import { bucketOf } from "./bucket_of.ts";
import type { Directory } from "./directory.ts";
import type { ExchangeRequest } from "./exchange_request.ts";
import type { ExchangeResponse } from "./exchange_response.ts";
import { isLive } from "./is_live.ts";
import type { Member } from "./member.ts";
import { MESSAGE_BYTES } from "./message_bytes.ts";
import type { MessageReports } from "./message_reports.ts";
import { packReport } from "./pack_report.ts";

type Bucket = { dataCentre: string; index: number; members: Member[] };

/**
 * Answers bucket digests with the live entries of the buckets that differ. Only
 * whole buckets are sent, up to the size limit but at least one, so that
 * repeated exchanges make progress.
 */
export function answerBuckets(
  directory: Directory,
  request: ExchangeRequest,
  corrections: MessageReports,
): Omit<ExchangeResponse, "rules"> {
  const reports = [...corrections];
  const sentBuckets = new Map<string, number[]>();
  let remainingBytes: number = MESSAGE_BYTES.repair;
  for (const bucket of differingBuckets(directory, request.buckets ?? [])) {
    const bytes = bucket.members.reduce((sum, member) => sum + member.bytes, 0);
    if (bytes > remainingBytes && sentBuckets.size > 0) break;
    remainingBytes -= bytes;
    reports.push(...bucket.members.map(packReport));
    const indexes = sentBuckets.get(bucket.dataCentre) ?? [];
    sentBuckets.set(bucket.dataCentre, [...indexes, bucket.index]);
  }
  return { reports, differing: [...sentBuckets] };
}

function differingBuckets(
  directory: Directory,
  remoteBuckets: NonNullable<ExchangeRequest["buckets"]>,
): Bucket[] {
  const differing: Bucket[] = [];
  const byKey = new Map<string, Bucket>();
  for (const [dataCentre, digests] of remoteBuckets) {
    const localDigests = directory.dataCentreDigests.get(dataCentre)?.buckets;
    for (let index = 0; index < BUCKET_COUNT; index++) {
      if ((localDigests?.[index] ?? 0) === digests[index]) continue;
      const bucket: Bucket = { dataCentre, index, members: [] };
      differing.push(bucket);
      byKey.set(`${dataCentre} ${index}`, bucket);
    }
  }
  for (const member of directory.members.values()) {
    if (!isLive(member)) continue;
    const { address, dataCentre } = member.entry;
    byKey.get(`${dataCentre} ${bucketOf(address)}`)?.members.push(member);
  }
  return differing;
}
