import type { AgreementTerms } from "./agreement_terms.ts";
import type { Terms } from "./terms.ts";

/** Returns the agreements among terms. */
export function agreements(terms: Iterable<Terms>): AgreementTerms[] {
  return Array.from(terms).filter((each) => each.kind === "agreement");
}
