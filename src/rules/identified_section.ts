import type { Section } from "./section.ts";
import type { SectionVersion } from "./section_version.ts";

/** A section with its computed name, digest and size. */
export type IdentifiedSection = SectionVersion & {
  section: Section;
  /** Size of the body as canonical JSON, in bytes. */
  bytes: number;
};
