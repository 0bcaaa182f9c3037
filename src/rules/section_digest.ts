import { sha256 } from "../core/sha256.ts";
import type { Section } from "./section.ts";
import { sectionBody } from "./section_body.ts";

/** Returns the digest of a section's version and terms, without signatures. */
export function sectionDigest(
  section: Pick<Section, "version" | "terms">,
): string {
  return sha256(sectionBody(section));
}
