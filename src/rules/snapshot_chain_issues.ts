import type { Issue } from "../core/issue.ts";
import { sha256 } from "../core/sha256.ts";
import { changeDigest } from "./change_digest.ts";
import type { Rules } from "./rules.ts";
import type { Snapshot } from "./snapshot.ts";
import { stateText } from "./state_text.ts";

/**
 * Checks that a snapshot matches its digests, and that it neither drops nor
 * reverts a section in effect. A snapshot leaves out the changes in between, so
 * no other check can show whether it continues the state in effect.
 */
export function snapshotChainIssues(rules: Rules, snapshot: Snapshot): Issue[] {
  const { record, versions } = snapshot;
  const path = ["snapshot"];
  if (changeDigest(record) !== record.digest) {
    const message = `Change ${record.sequence} does not match its digest`;
    return [{ code: "digest-mismatch", path, message }];
  }
  if (
    record.sequence === rules.record.sequence + 1 &&
    record.previous !== rules.record.digest
  ) {
    const message =
      `Snapshot at ${record.sequence} does not follow the change in effect`;
    return [{ code: "fork", path, message }];
  }
  if (sha256(stateText(versions)) !== record.stateDigest) {
    const message = "Snapshot does not match its state digest";
    return [{ code: "state-mismatch", path, message }];
  }
  return revertedSections(rules, snapshot);
}

function revertedSections(rules: Rules, { versions }: Snapshot): Issue[] {
  const offeredByName = new Map(versions.map((each) => [each.name, each]));
  return [...rules.sections.values()].flatMap((own): Issue[] => {
    const other = offeredByName.get(own.name);
    const kept = other !== undefined && (other.version > own.version ||
      other.version === own.version && other.digest === own.digest);
    if (kept) return [];
    const message =
      `Snapshot lacks version ${own.version} of section ${own.name}, which is in effect`;
    return [{ code: "fork", path: ["snapshot", own.name], message }];
  });
}
