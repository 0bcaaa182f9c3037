import type { Terms } from "./terms.ts";

/** Returns the departments whose signatures a section needs. */
export function requiredSigners(terms: Terms): readonly string[] {
  return terms.kind === "department" ? [terms.department] : terms.parties;
}
