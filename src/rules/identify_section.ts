import { sha256 } from "../core/sha256.ts";
import type { IdentifiedSection } from "./identified_section.ts";
import type { Section } from "./section.ts";
import { sectionBody } from "./section_body.ts";
import { sectionName } from "./section_name.ts";

/** Computes the name, digest and size of a section, without any check. */
export function identifySection(section: Section): IdentifiedSection {
  const body = sectionBody(section);
  return {
    name: sectionName(section.terms),
    version: section.version,
    digest: sha256(body),
    section,
    bytes: Buffer.byteLength(body),
  };
}
