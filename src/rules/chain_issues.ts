import type { Issue } from "../core/issue.ts";
import { changeDigest } from "./change_digest.ts";
import type { ChangeRecord } from "./change_record.ts";

/** Checks that a record matches its digest and links to the previous record. */
export function chainIssues(
  record: ChangeRecord,
  previous: Readonly<ChangeRecord>,
): Issue[] {
  const path = ["changes", record.sequence];
  if (changeDigest(record) !== record.digest) {
    const message = `Change ${record.sequence} does not match its digest`;
    return [{ code: "digest-mismatch", path, message }];
  }
  if (record.previous !== previous.digest) {
    const message =
      `Change ${record.sequence} does not follow the change ${previous.sequence} in effect`;
    return [{ code: "fork", path, message }];
  }
  return [];
}
