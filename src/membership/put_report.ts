import { Buffer } from "node:buffer";
import { bucketOf } from "./bucket_of.ts";
import { BUCKET_COUNT } from "./bucket_count.ts";
import { DIGEST_MODULUS } from "./digest_modulus.ts";
import type { Directory } from "./directory.ts";
import { fingerprint } from "./fingerprint.ts";
import { indexMember } from "./index_member.ts";
import { isLive } from "./is_live.ts";
import type { Member } from "./member.ts";
import { packReport } from "./pack_report.ts";
import type { Report } from "./report.ts";

/** Stores a report and keeps digests, tombstones and cached lists in step. */
export function putReport(
  directory: Directory,
  report: Report,
  now: number,
): void {
  const { address } = report.entry;
  const old = directory.members.get(address);
  const member = memberOf(report, old, now);
  directory.members.set(address, member);
  const wasLive = old !== undefined && isLive(old);
  const live = isLive(member);
  if (wasLive) addToDigests(directory, old, -1);
  if (live) addToDigests(directory, member, 1);
  if (!live && (wasLive || old === undefined)) {
    directory.tombstones.set(address, now);
  } else if (live) directory.tombstones.delete(address);
  directory.liveCount += Number(live) - Number(wasLive);
  if (live !== wasLive || old?.entry.dataCentre !== report.entry.dataCentre) {
    directory.peers = null;
  }
  indexMember(directory, old, member);
}

function memberOf(report: Report, old: Member | undefined, now: number) {
  // A verdict of suspicion is left out: it is brief and travels as news only.
  const packed = packReport({ entry: report.entry, verdict: 0 });
  const text = JSON.stringify(packed);
  return {
    entry: report.entry,
    verdict: report.verdict,
    since: old !== undefined && sameServer(old, report) ? old.since : now,
    fingerprint: fingerprint(text),
    bytes: Buffer.byteLength(text) + 1,
  };
}

function sameServer({ entry: one }: Report, { entry: two }: Report): boolean {
  return one.incarnation === two.incarnation && one.state === "up" &&
    one.server?.service === two.server?.service;
}

function addToDigests(directory: Directory, member: Member, sign: 1 | -1) {
  const { dataCentre, address } = member.entry;
  let centre = directory.dataCentreDigests.get(dataCentre);
  if (centre === undefined) {
    centre = { digest: 0, buckets: new Float64Array(BUCKET_COUNT) };
    directory.dataCentreDigests.set(dataCentre, centre);
  }
  const share = sign * member.fingerprint;
  const bucket = bucketOf(address);
  centre.digest = sum(centre.digest, share);
  centre.buckets[bucket] = sum(centre.buckets[bucket]!, share);
  directory.digest = sum(directory.digest, share);
}

function sum(digest: number, share: number): number {
  return (digest + share + DIGEST_MODULUS) % DIGEST_MODULUS;
}
