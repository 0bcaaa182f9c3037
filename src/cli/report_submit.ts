import type { Environment } from "./environment.ts";
import { ExitStatus } from "./exit_status.ts";
import { sanitizeText } from "./sanitize_text.ts";
import { formatIssues } from "./format_issues.ts";
import type { SubmitResult } from "./submit_result.ts";

type Report = { status: number; text: string };

const REPORT: {
  [Kind in SubmitResult["kind"]]: (
    answer: Extract<SubmitResult, { kind: Kind }>,
  ) => Report;
} = {
  accepted: ({ changeId, section, version }) => ({
    status: ExitStatus.ok,
    text:
      `Change ${changeId}: section ${section} accepted as version ${version}; check with rules verify that it is in effect everywhere`,
  }),
  unchanged: ({ changeId, section, version }) => ({
    status: ExitStatus.unchanged,
    text:
      `Change ${changeId}: section ${section} was accepted before as version ${version}; nothing is left to do`,
  }),
  pending: ({ changeId, section, version, digest, missing }) => ({
    status: ExitStatus.pending,
    text:
      `Change ${changeId}: version ${version} of section ${section} is stored, not in effect before ${
        missing.join(", ")
      } signed it: rules approve ${changeId} --digest ${digest}`,
  }),
  conflict: ({ changeId, section, version, winner }) => ({
    status: ExitStatus.conflict,
    text:
      `Change ${changeId}: not accepted, change ${winner} made version ${version} of section ${section} first; compare with that change, then submit as a new change`,
  }),
  invalid: () => ({
    status: ExitStatus.usage,
    text: "Change not submitted; correct what is named above",
  }),
  rejected: ({ changeId }) => ({
    status: ExitStatus.rejected,
    text:
      `Change ${changeId}: not accepted; correct what is named above, then submit as a new change`,
  }),
  unreachable: ({ message }) => ({
    status: ExitStatus.unreachable,
    text:
      `Change not submitted, the daemon cannot be reached: ${message}; check --daemon and that it runs`,
  }),
  unavailable: ({ changeId, message }) => ({
    status: ExitStatus.notAccepted,
    text:
      `Change ${changeId}: not accepted: ${message}; the rules in effect stay, try again later`,
  }),
  unknown: ({ changeId, message }) => ({
    status: ExitStatus.unknown,
    text:
      `Change ${changeId}: not known whether it was accepted: ${message}; submit again with --change ${changeId}, or approve again`,
  }),
};

// What a script takes for progress goes to the output, the rest to errors.
const PROGRESS: ReadonlySet<SubmitResult["kind"]> = new Set([
  "accepted",
  "unchanged",
  "pending",
]);

/** Prints what became of a change; returns the exit status. */
export function reportSubmit(
  answer: SubmitResult,
  { file, json }: { file: string; json: boolean },
  { out, err }: Pick<Environment, "out" | "err">,
): number {
  const report = REPORT[answer.kind] as (answer: SubmitResult) => Report;
  const { status, text } = report(answer);
  if (json) out(`${JSON.stringify(answer)}\n`);
  else if (PROGRESS.has(answer.kind)) out(`${sanitizeText(text)}\n`);
  else {
    if ("issues" in answer) err(formatIssues(file, answer.issues));
    err(`${sanitizeText(text)}\n`);
  }
  return status;
}
