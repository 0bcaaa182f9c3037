import type { Environment } from "./environment.ts";
import { ExitStatus } from "./exit_status.ts";
import { formatTable } from "./format_table.ts";
import type { VerifyResult } from "./verify_result.ts";

type Compared = Extract<VerifyResult, { kind: "compared" }>;
type Failures = { address: string; message: string; status: number }[];

const HEADER = ["DAEMON", "RESULT", "SECTION", "AGREED", "IN EFFECT"];

/**
 * Prints a comparison; returns the exit status. A difference takes precedence over
 * daemons that did not answer, and ok requires the answers of all daemons.
 */
export function reportVerify(
  { daemons }: Compared,
  { failures, json }: { failures: Failures; json: boolean },
  { out }: Environment,
): number {
  const differs = daemons.some(({ differences }) => differences.length > 0);
  const rows = daemons.flatMap(formatRows);
  for (const { address } of failures) rows.push([address, "no answer"]);
  const unanswered = failures.map(({ address, message }) => ({
    address,
    message,
  }));
  const same = !differs && failures.length === 0;
  out(
    json
      ? `${JSON.stringify({ same, daemons, unanswered })}\n`
      : formatTable([HEADER, ...rows]),
  );
  if (differs) return ExitStatus.negative;
  return failures[0]?.status ?? ExitStatus.ok;
}

function formatRows({ address, differences }: Compared["daemons"][number]) {
  if (differences.length === 0) return [[address, "same"]];
  return differences.map(({ section, agreed, inEffect }) => [
    address,
    "differs",
    section,
    agreed,
    inEffect,
  ]);
}
