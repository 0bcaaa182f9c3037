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

/** Stores a report and updates the digests, tombstones and cached lists. */
export function putReport(
  directory: Directory,
  report: Report,
  now: number,
): void {
  const { address } = report.entry;
  const old = directory.members.get(address);
  const member = createMember(report, old, now);
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

function createMember(report: Report, old: Member | undefined, now: number) {
  // Digests ignore suspicions: they are brief and spread as updates only.
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
  let dataCentreDigest = directory.dataCentreDigests.get(dataCentre);
  if (dataCentreDigest === undefined) {
    dataCentreDigest = { digest: 0, buckets: new Float64Array(BUCKET_COUNT) };
    directory.dataCentreDigests.set(dataCentre, dataCentreDigest);
  }
  const term = sign * member.fingerprint;
  const bucket = bucketOf(address);
  dataCentreDigest.digest = addModulo(dataCentreDigest.digest, term);
  dataCentreDigest.buckets[bucket] = addModulo(
    dataCentreDigest.buckets[bucket]!,
    term,
  );
  directory.digest = addModulo(directory.digest, term);
}

function addModulo(digest: number, term: number): number {
  return (digest + term + DIGEST_MODULUS) % DIGEST_MODULUS;
}
