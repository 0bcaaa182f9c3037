import { z } from "zod";
import { ChangeRecord } from "./change_record.ts";
import { Section } from "./section.ts";
import { SectionVersion } from "./section_version.ts";

const MAX_SECTIONS = 5_000;

/** The whole state at one change. Sections that the receiver has are left out. */
export const Snapshot = z.strictObject({
  record: ChangeRecord,
  versions: z.array(SectionVersion).max(MAX_SECTIONS),
  sections: z.array(Section).max(MAX_SECTIONS),
});
export type Snapshot = z.infer<typeof Snapshot>;
