import type { KeyObject } from "node:crypto";
import { identifySection } from "./identify_section.ts";
import { requiredSigners } from "./required_signers.ts";
import type { Section } from "./section.ts";
import { signatureIssues } from "./signature_issues.ts";

/** Returns the valid signatures of the departments that must sign a section. */
export function validSignatures(
  section: Section,
  keys: ReadonlyMap<string, KeyObject>,
): Section["signatures"] {
  const identified = identifySection(section);
  const valid = requiredSigners(section.terms).filter((department) =>
    signatureIssues(identified, { departments: [department], keys }).length ===
      0
  );
  return Object.fromEntries(
    valid.map((department) => [department, section.signatures[department]!]),
  );
}
