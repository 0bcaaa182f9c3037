import type { Environment } from "./environment.ts";
import { ExitStatus } from "./exit_status.ts";
import { sanitizeText } from "./sanitize_text.ts";
import { formatIssues } from "./format_issues.ts";
import type { SubmitResult } from "./submit_result.ts";

type Report = { status: number; text: string };

const FORMATTERS: {
  [Kind in SubmitResult["kind"]]: (
    result: Extract<SubmitResult, { kind: Kind }>,
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
      `Change ${changeId}: section ${section} was accepted before as version ${version}; no further action is needed`,
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
    text: "Change not submitted; fix the problems listed above",
  }),
  rejected: ({ changeId }) => ({
    status: ExitStatus.rejected,
    text:
      `Change ${changeId}: not accepted; fix the problems listed above, then submit as a new change`,
  }),
  unreachable: ({ message }) => ({
    status: ExitStatus.unreachable,
    text:
      `Change not submitted, the daemon cannot be reached: ${message}; check --daemon and that the daemon is running`,
  }),
  unavailable: ({ changeId, message }) => ({
    status: ExitStatus.notAccepted,
    text:
      `Change ${changeId}: not accepted: ${message}; the rules in effect are unchanged, try again later`,
  }),
  unknown: ({ changeId, message }) => ({
    status: ExitStatus.unknown,
    text:
      `Change ${changeId}: not known whether it was accepted: ${message}; submit again with --change ${changeId}, or approve again`,
  }),
};

// Results that a script treats as progress go to standard output, all others to
// standard error.
const PROGRESS_KINDS: ReadonlySet<SubmitResult["kind"]> = new Set([
  "accepted",
  "unchanged",
  "pending",
]);

/** Prints the result of a submit or approve; returns the exit status. */
export function reportSubmit(
  result: SubmitResult,
  { file, json }: { file: string; json: boolean },
  { out, err }: Pick<Environment, "out" | "err">,
): number {
  const report = FORMATTERS[result.kind] as (result: SubmitResult) => Report;
  const { status, text } = report(result);
  if (json) out(`${JSON.stringify(result)}\n`);
  else if (PROGRESS_KINDS.has(result.kind)) out(`${sanitizeText(text)}\n`);
  else {
    if ("issues" in result) err(formatIssues(file, result.issues));
    err(`${sanitizeText(text)}\n`);
  }
  return status;
}
