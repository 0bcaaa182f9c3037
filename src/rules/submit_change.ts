import type { TableService } from "../store/table_service.ts";
import { createRules } from "./create_rules.ts";
import type { Submission } from "./submission.ts";
import type { SubmissionOutcome } from "./submission_outcome.ts";
import type { SubmissionProgress } from "./submission_progress.ts";
import { submitOnce } from "./submit_once.ts";

const MAX_ATTEMPTS = 5;

/**
 * Submits a signed section by compare-and-set on the head. When the response to
 * a write is lost or the change of another department is written first, it
 * reads the store back and tries again. A version that another change has taken
 * is a conflict. Submitting the same change again has no further effect.
 */
export async function submitChange(
  table: TableService,
  submission: Submission,
): Promise<SubmissionOutcome> {
  const progress: SubmissionProgress = {
    rules: createRules(submission),
    responseLost: false,
    unconfirmedHeads: new Set(),
    message: "The head of the store kept changing",
  };
  // The last attempt only reads, to find out what became of the write before
  // it.
  for (let attempt = 0; attempt <= MAX_ATTEMPTS; attempt++) {
    if (attempt > 0) await submission.waitBeforeRetry?.(attempt);
    const step = await submitOnce(table, submission, {
      progress,
      write: attempt < MAX_ATTEMPTS,
    });
    if (step.kind !== "again") return step;
  }
  const { unconfirmedHeads, message } = progress;
  return {
    kind: unconfirmedHeads.size > 0 ? "not-known" : "not-accepted",
    message,
  };
}
