import type { Rules } from "./rules.ts";
import { rulesHead } from "./rules_head.ts";
import type { RulesReport } from "./rules_report.ts";
import { signers } from "./signers.ts";

/** Returns what is in effect at this daemon, for `nutmegmoor rules verify`. */
export function reportRules(rules: Rules): RulesReport {
  return {
    head: rulesHead(rules),
    sections: Array.from(
      rules.sections.values(),
      ({ name, version, digest, section }) => ({
        name,
        version,
        digest,
        departments: [...signers(section.terms)],
      }),
    ),
  };
}
