import type { Environment } from "./environment.ts";
import { ExitStatus } from "./exit_status.ts";
import { reportIssues } from "./report_issues.ts";
import type { SubmitAnswer } from "./submit_answer.ts";

type Report = { status: number; text: string };

const REPORT: {
  [Kind in SubmitAnswer["kind"]]: (
    answer: Extract<SubmitAnswer, { kind: Kind }>,
  ) => Report;
} = {
  accepted: ({ changeId, section, version }) => ({
    status: ExitStatus.ok,
    text:
      `Change ${changeId}: section ${section} accepted as version ${version}`,
  }),
  unchanged: ({ changeId, section, version }) => ({
    status: ExitStatus.ok,
    text:
      `Change ${changeId}: section ${section} was accepted before as version ${version}`,
  }),
  pending: ({ changeId, missing }) => ({
    status: ExitStatus.ok,
    text: `Change ${changeId}: stored, waits for the signatures of ${
      missing.join(", ")
    }`,
  }),
  conflict: ({ changeId, section, version }) => ({
    status: ExitStatus.conflict,
    text:
      `Change ${changeId}: not accepted, another change made version ${version} of section ${section}`,
  }),
  rejected: () => ({ status: ExitStatus.usage, text: "Change not accepted" }),
  unavailable: ({ message }) => ({
    status: ExitStatus.notAccepted,
    text: `Change not accepted: ${message}`,
  }),
  unknown: ({ changeId, message }) => ({
    status: ExitStatus.unknown,
    text:
      `Change ${changeId}: not known whether it was accepted: ${message}; submit again with --change ${changeId}`,
  }),
};

/** Prints what became of a change; returns the exit status. */
export function reportSubmit(
  answer: SubmitAnswer,
  { file, json }: { file: string; json: boolean },
  { out, err }: Environment,
): number {
  const report = REPORT[answer.kind] as (answer: SubmitAnswer) => Report;
  const { status, text } = report(answer);
  if (json) out(`${JSON.stringify(answer)}\n`);
  else if (status === ExitStatus.ok) out(`${text}\n`);
  else {
    if (answer.kind === "rejected") err(reportIssues(file, answer.issues));
    err(`${text}\n`);
  }
  return status;
}
