import type { KeyObject } from "node:crypto";
import type { Issue } from "../core/issue.ts";
import type { EffectiveSection } from "./effective_section.ts";
import { LIMITS } from "./limits.ts";
import { signatureIssues } from "./signature_issues.ts";
import { signers } from "./signers.ts";
import { termsIssues } from "./terms_issues.ts";

const MAX_BYTES = {
  department: LIMITS.departmentBytes,
  agreement: LIMITS.agreementBytes,
};

/** Checks a section by itself: its size, terms and signatures. */
export function sectionIssues(
  effective: EffectiveSection,
  keys: ReadonlyMap<string, KeyObject>,
): Issue[] {
  const contradictions = termsIssues(effective.section.terms)
    .map((issue) => ({ ...issue, path: [effective.name, ...issue.path] }));
  const departments = signers(effective.section.terms);
  return [
    ...sizeIssues(effective),
    ...contradictions,
    ...signatureIssues(effective, { departments, keys }),
  ];
}

function sizeIssues({ name, bytes, section }: EffectiveSection): Issue[] {
  const limit = MAX_BYTES[section.terms.kind];
  if (bytes <= limit) return [];
  const message = `Section ${name} has ${bytes} bytes, more than ${limit}`;
  return [{ code: "section-too-large", path: [name], message }];
}
