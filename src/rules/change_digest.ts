import { canonicalJson } from "../core/canonical_json.ts";
import { sha256 } from "../core/sha256.ts";
import type { ChangeRecord } from "./change_record.ts";

/**
 * Returns the digest of a change record, which covers all of its other fields.
 */
export function changeDigest(record: Omit<ChangeRecord, "digest">): string {
  return sha256(canonicalJson({ ...record, digest: undefined }));
}
