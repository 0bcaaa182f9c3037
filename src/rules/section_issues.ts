import type { KeyObject } from "node:crypto";
import type { Issue } from "../core/issue.ts";
import type { IdentifiedSection } from "./identified_section.ts";
import { LIMITS } from "./limits.ts";
import { requiredSigners } from "./required_signers.ts";
import { signatureIssues } from "./signature_issues.ts";
import { termsIssues } from "./terms_issues.ts";

const MAX_SECTION_BYTES = {
  department: LIMITS.departmentBytes,
  agreement: LIMITS.agreementBytes,
};

/**
 * Checks the size, terms and signatures of a section, independently of others.
 */
export function sectionIssues(
  identified: IdentifiedSection,
  keys: ReadonlyMap<string, KeyObject>,
): Issue[] {
  const semanticIssues = termsIssues(identified.section.terms)
    .map((issue) => ({ ...issue, path: [identified.name, ...issue.path] }));
  const departments = requiredSigners(identified.section.terms);
  return [
    ...sizeIssues(identified),
    ...semanticIssues,
    ...signatureIssues(identified, { departments, keys }),
  ];
}

function sizeIssues({ name, bytes, section }: IdentifiedSection): Issue[] {
  const limit = MAX_SECTION_BYTES[section.terms.kind];
  if (bytes <= limit) return [];
  const message = `Section ${name} has ${bytes} bytes, more than ${limit}`;
  return [{ code: "section-too-large", path: [name], message }];
}
