import type { Issue } from "../core/issue.ts";
import type { TableService } from "../store/table_service.ts";
import { createChange } from "./create_change.ts";
import { findSubmission } from "./find_submission.ts";
import { findWinningChange } from "./find_winning_change.ts";
import { refreshRules } from "./refresh_rules.ts";
import { sectionDigest } from "./section_digest.ts";
import { sectionName } from "./section_name.ts";
import type { StoreFault } from "./store_fault.ts";
import type { Submission } from "./submission.ts";
import type { SubmissionOutcome } from "./submission_outcome.ts";
import type { SubmissionProgress } from "./submission_progress.ts";
import { writeChange } from "./write_change.ts";

type Step = SubmissionOutcome | { kind: "again" };
type Attempt = { progress: SubmissionProgress; write: boolean };

/**
 * Makes one attempt: reads the state, looks up the change and writes it if it
 * is absent.
 */
export async function submitOnce(
  table: TableService,
  submission: Submission,
  { progress, write }: Attempt,
): Promise<Step> {
  const stores = { table, objects: submission.objects };
  const fault = await refreshRules(stores, progress.rules);
  if (fault) return stepAfterFault(progress, fault);
  const earlier = await findEarlierOutcome(table, submission, progress);
  if (earlier) return earlier;
  if (!write) return { kind: "again" };
  const change = createChange(progress.rules, {
    section: submission.section,
    id: submission.changeId,
  });
  if (!change.ok) return rejection(progress, change.issues);
  return await writeChange(stores, change.value, progress);
}

async function findEarlierOutcome(
  table: TableService,
  { section, changeId }: Submission,
  progress: SubmissionProgress,
): Promise<Step | undefined> {
  const { version, terms } = section;
  const found = await findWinningChange(table, {
    name: sectionName(terms),
    version,
  });
  if (found.kind === "absent") {
    // The state was read before this row, so an unconfirmed write that depends
    // on an older head did not take effect and no longer can.
    const head = progress.rules.record.digest;
    progress.unconfirmedHeads = new Set(
      [...progress.unconfirmedHeads].filter((each) => each === head),
    );
    return await checkChangeId(table, changeId, progress);
  }
  if (found.kind !== "found") return stepAfterFault(progress, found);
  const { winner } = found;
  const { sequence } = winner;
  if (
    winner.changeId !== changeId || winner.digest !== sectionDigest(section)
  ) {
    return { kind: "conflict", sequence, version, changeId: winner.changeId };
  }
  const kind = progress.responseLost ? "accepted" : "already-accepted";
  return { kind, sequence, version };
}

/** Rejects a change id that was already used for another change. */
async function checkChangeId(
  table: TableService,
  changeId: string,
  progress: SubmissionProgress,
): Promise<Step | undefined> {
  const found = await findSubmission(table, changeId);
  if (found.kind === "absent") return undefined;
  if (found.kind !== "found") return stepAfterFault(progress, found);
  // The write of an earlier attempt can take effect between the two reads, in
  // which case the id belongs to this change.
  if (progress.responseLost) return { kind: "again" };
  const { name, version } = found.submission;
  const message =
    `Change id ${changeId} stands for version ${version} of section ${name} already`;
  const issues = [{ code: "change-id-taken", path: ["changeId"], message }];
  return rejection(progress, issues);
}

function stepAfterFault(progress: SubmissionProgress, fault: StoreFault): Step {
  if (fault.kind === "invalid") return rejection(progress, fault.issues);
  progress.message = fault.message;
  return { kind: "again" };
}

function rejection(
  { unconfirmedHeads }: SubmissionProgress,
  issues: Issue[],
): Step {
  if (unconfirmedHeads.size === 0) return { kind: "rejected", issues };
  const message = issues.map((issue) => issue.message).join("; ");
  return { kind: "not-known", message };
}
