import type { Section } from "../rules/section.ts";
import { sectionDigest } from "../rules/section_digest.ts";
import { sectionName } from "../rules/section_name.ts";

/** Returns what a signature over a section covers, for people. */
export function describeSection(section: Section): string {
  const { version, terms, signatures } = section;
  const signed = Object.keys(signatures).sort().join(", ");
  return `Section ${sectionName(terms)}, version ${version}, digest ${
    sectionDigest(section)
  }, signed by ${signed === "" ? "nobody" : signed}\n${
    JSON.stringify(terms, null, 2)
  }\n`;
}
