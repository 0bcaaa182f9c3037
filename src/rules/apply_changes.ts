import type { Issue } from "../core/issue.ts";
import type { Change } from "./change.ts";
import { changeIssues } from "./change_issues.ts";
import { identifySection } from "./identify_section.ts";
import { indexServices } from "./index_services.ts";
import { retainChange } from "./retain_change.ts";
import type { Rules } from "./rules.ts";

/** Outcome of a batch of changes. */
type ApplyResult = {
  /** Changes that took effect, by sequence. */
  applied: Change[];
  /** Why changes were rejected: a fork, a forgery or a replay. */
  issues: Issue[];
  /** Whether the batch has a gap after the sequence in effect. */
  missing: boolean;
};

/**
 * Applies the changes that continue the hash chain of the rules, whatever the
 * order and repetition within the batch. Changes at or below the sequence in
 * effect are never applied; one that differs from the recorded change with its
 * sequence is reported as a fork. A change that fails a check is not applied,
 * nor are those with a higher sequence: the rules stay as they are until a
 * valid change continues the chain.
 */
export function applyChanges(
  rules: Rules,
  changes: readonly Change[],
  now: number,
): ApplyResult {
  const ordered = [...changes].sort((left, right) =>
    left.record.sequence - right.record.sequence
  );
  const result: ApplyResult = { applied: [], issues: [], missing: false };
  for (const change of ordered) {
    const { sequence } = change.record;
    if (sequence <= rules.record.sequence) {
      result.issues.push(...forkIssues(rules, change));
    } else if (sequence > rules.record.sequence + 1) {
      result.missing = true;
    } else {
      const issues = applyNext(rules, change, now);
      result.issues.push(...issues);
      if (issues.length === 0) result.applied.push(change);
    }
  }
  return result;
}

function forkIssues(rules: Rules, { record }: Change): Issue[] {
  const current = record.sequence === rules.record.sequence
    ? rules.record
    : rules.recentChanges.find(({ change }) =>
      change.record.sequence === record.sequence
    )?.change.record;
  if (!current || current.digest === record.digest) return [];
  const message =
    `Change ${record.sequence} differs from the one in effect with this sequence`;
  return [{ code: "fork", path: ["changes", record.sequence], message }];
}

function applyNext(rules: Rules, change: Change, now: number): Issue[] {
  const next = identifySection(change.section);
  const issues = changeIssues(rules, { record: change.record, next });
  if (issues.length > 0) return issues;
  rules.record = change.record;
  rules.sections.set(next.name, next);
  rules.changedAt = now;
  indexServices(rules.services, change.section.terms);
  retainChange(rules, { change, bytes: next.bytes });
  return [];
}
