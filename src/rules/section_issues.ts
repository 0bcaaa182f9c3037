import type { KeyObject } from "node:crypto";
import type { Issue } from "../core/issue.ts";
import type { EffectiveSection } from "./effective_section.ts";
import { signatureIssues } from "./signature_issues.ts";
import { signers } from "./signers.ts";
import { termsIssues } from "./terms_issues.ts";

/** Checks a section by itself: its terms and its signatures. */
export function sectionIssues(
  effective: EffectiveSection,
  keys: ReadonlyMap<string, KeyObject>,
): Issue[] {
  const contradictions = termsIssues(effective.section.terms)
    .map((issue) => ({ ...issue, path: [effective.name, ...issue.path] }));
  const departments = signers(effective.section.terms);
  return [
    ...contradictions,
    ...signatureIssues(effective, { departments, keys }),
  ];
}
