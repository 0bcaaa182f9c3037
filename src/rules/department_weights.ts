import { agreementWeights } from "./agreement_weights.ts";
import { agreements } from "./agreements.ts";
import type { Rules } from "./rules.ts";

/**
 * Returns the fair share weights in effect at a service, by department; every
 * other department has weight 1. Reads all agreements, so callers should cache
 * the result until the rules change.
 */
export function departmentWeights(
  rules: Rules,
  service: string,
): Map<string, number> {
  const terms = Array.from(rules.sections.values(), (each) => each.section);
  return agreementWeights(
    agreements(terms.map((section) => section.terms)),
    service,
  );
}
