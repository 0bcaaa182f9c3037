import type { AgreementTerms } from "./agreement_terms.ts";
import type { Terms } from "./terms.ts";

/** Selects the agreements from the terms of several sections. */
export function agreements(terms: Iterable<Terms>): AgreementTerms[] {
  return Array.from(terms).filter((each) => each.kind === "agreement");
}
