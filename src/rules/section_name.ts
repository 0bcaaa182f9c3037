import { sha256 } from "../core/sha256.ts";
import type { Terms } from "./terms.ts";

const PARTIES_DIGEST_LENGTH = 16;

/**
 * Returns the name that a section is stored under. The name of an agreement
 * contains a digest of its parties, so that other departments cannot replace it
 * by an agreement of the same name among themselves.
 */
export function sectionName(terms: Terms): string {
  if (terms.kind === "department") return terms.department;
  const parties = sha256([...terms.parties].sort().join(" "));
  return `${terms.agreement}@${parties.slice(0, PARTIES_DIGEST_LENGTH)}`;
}
