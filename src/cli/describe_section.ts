import type { Section } from "../rules/section.ts";
import { sectionDigest } from "../rules/section_digest.ts";
import { sectionName } from "../rules/section_name.ts";

/** Formats the content that a signature of a section covers, for review. */
export function describeSection(section: Section): string {
  const { version, terms, signatures } = section;
  const signers = Object.keys(signatures).sort().join(", ");
  return `Section ${sectionName(terms)}, version ${version}, digest ${
    sectionDigest(section)
  }, signed by ${signers === "" ? "nobody" : signers}\n${
    JSON.stringify(terms, null, 2)
  }\n`;
}
