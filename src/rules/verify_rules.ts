import type { KeyObject } from "node:crypto";
import type { Result } from "../core/result.ts";
import { compareReport } from "./compare_report.ts";
import { identifySection } from "./identify_section.ts";
import type { RulesDifference } from "./rules_difference.ts";
import type { RulesReport } from "./rules_report.ts";
import type { Section } from "./section.ts";
import { signatureIssues } from "./signature_issues.ts";

/** A department's view, and what each daemon reports; null if it does not answer. */
type Options = {
  department: string;
  publicKey: KeyObject;
  /** Newest signed version of each section that the department agreed to. */
  agreed: readonly Section[];
  reports: ReadonlyMap<string, RulesReport | null>;
};

/** A daemon that has something else in effect. */
type Deviation = { daemon: string; differences: RulesDifference[] };

/**
 * Compares what a department agreed to with what each daemon has in effect, and
 * returns the daemons that differ. Fails if the department's own signature is
 * missing from a section that it claims to have agreed to.
 */
export function verifyRules(
  { department, publicKey, agreed, reports }: Options,
): Result<Deviation[]> {
  const sections = agreed.map(identifySection);
  const keys = new Map([[department, publicKey]]);
  const issues = sections.flatMap((each) =>
    signatureIssues(each, { keys, departments: [department] })
  );
  if (issues.length > 0) return { ok: false, issues };
  const deviations = Array.from(reports, ([daemon, report]) => ({
    daemon,
    differences: compareReport({ department, sections }, report),
  }));
  const value = deviations.filter((each) => each.differences.length > 0);
  return { ok: true, value };
}
