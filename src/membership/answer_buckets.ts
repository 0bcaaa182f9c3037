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
 * Answers bucket digests with the live entries of buckets that differ: whole
 * buckets within the byte bound, and at least one, so that repeated exchanges
 * make progress.
 */
export function answerBuckets(
  directory: Directory,
  request: ExchangeRequest,
  corrections: MessageReports,
): Omit<ExchangeResponse, "rules"> {
  const reports = [...corrections];
  const listed = new Map<string, number[]>();
  let room: number = MESSAGE_BYTES.repair;
  for (const bucket of differingBuckets(directory, request.buckets ?? [])) {
    const bytes = bucket.members.reduce((sum, member) => sum + member.bytes, 0);
    if (bytes > room && listed.size > 0) break;
    room -= bytes;
    reports.push(...bucket.members.map(packReport));
    const indexes = listed.get(bucket.dataCentre) ?? [];
    listed.set(bucket.dataCentre, [...indexes, bucket.index]);
  }
  return { reports, differing: [...listed] };
}

function differingBuckets(
  directory: Directory,
  theirs: NonNullable<ExchangeRequest["buckets"]>,
): Bucket[] {
  const differing: Bucket[] = [];
  const byKey = new Map<string, Bucket>();
  for (const [dataCentre, digests] of theirs) {
    const own = directory.dataCentreDigests.get(dataCentre)?.buckets;
    for (let index = 0; index < BUCKET_COUNT; index++) {
      if ((own?.[index] ?? 0) === digests[index]) continue;
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
