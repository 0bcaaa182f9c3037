import { requiredSigners } from "./required_signers.ts";
import type { Rules } from "./rules.ts";
import { rulesHead } from "./rules_head.ts";
import type { RulesReport } from "./rules_report.ts";

/**
 * Returns the rules in effect at this daemon. For a department, only the
 * sections that bind it, with its signatures, which `nutmegmoor rules verify`
 * checks.
 */
export function reportRules(rules: Rules, department?: string): RulesReport {
  const sections = [...rules.sections.values()].filter(({ section }) =>
    department === undefined ||
    requiredSigners(section.terms).includes(department)
  );
  return {
    head: rulesHead(rules),
    sections: sections.map(({ name, version, digest, section }) => ({
      name,
      version,
      digest,
      departments: [...requiredSigners(section.terms)],
      ...(department === undefined
        ? {}
        : { signature: section.signatures[department] }),
    })),
  };
}
