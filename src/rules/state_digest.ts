import { sha256 } from "../core/sha256.ts";
import type { SectionVersion } from "./section_version.ts";
import { stateText } from "./state_text.ts";

/**
 * Returns the digest of the versions of all sections after one of them is
 * replaced or added.
 */
export function stateDigest(
  sections: ReadonlyMap<string, SectionVersion>,
  next: SectionVersion,
): string {
  return sha256(stateText(new Map([...sections, [next.name, next]]).values()));
}
