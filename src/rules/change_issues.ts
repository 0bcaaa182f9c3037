import type { Issue } from "../core/issue.ts";
import { candidateIssues } from "./candidate_issues.ts";
import { chainIssues } from "./chain_issues.ts";
import type { ChangeRecord } from "./change_record.ts";
import type { IdentifiedSection } from "./identified_section.ts";
import type { Rules } from "./rules.ts";
import { stateDigest } from "./state_digest.ts";

/**
 * Checks a change that should follow the one in effect. The cheap checks of the
 * chain come first, so that a fork costs no signature verification.
 */
export function changeIssues(
  rules: Rules,
  { record, next }: { record: ChangeRecord; next: IdentifiedSection },
): Issue[] {
  const linkIssues = chainIssues(record, rules.record);
  if (linkIssues.length > 0) return linkIssues;
  const path = ["changes", record.sequence];
  if (
    record.name !== next.name || record.version !== next.version ||
    record.sectionDigest !== next.digest
  ) {
    const message = `Change ${record.sequence} carries a different section`;
    return [{ code: "section-mismatch", path, message }];
  }
  const issues = candidateIssues(rules, next);
  if (stateDigest(rules.sections, next) !== record.stateDigest) {
    const message =
      `Change ${record.sequence} has a state digest other than that of the sections in effect`;
    issues.push({ code: "state-mismatch", path, message });
  }
  return issues;
}
