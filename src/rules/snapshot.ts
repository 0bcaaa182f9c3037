import { z } from "zod";
import { ChangeRecord } from "./change_record.ts";
import { LIMITS } from "./limits.ts";
import { Section } from "./section.ts";
import { SectionVersion } from "./section_version.ts";

/**
 * The whole state after one change. Sections that the receiver has are left
 * out.
 */
export const Snapshot = z.strictObject({
  record: ChangeRecord,
  versions: z.array(SectionVersion).max(LIMITS.sections),
  sections: z.array(Section).max(LIMITS.sections),
});
export type Snapshot = z.infer<typeof Snapshot>;
