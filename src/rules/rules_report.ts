import { z } from "zod";
import { Head } from "./head.ts";
import { LIMITS } from "./limits.ts";
import { Name } from "./name.ts";
import { SectionVersion } from "./section_version.ts";

/** The rules that a daemon reports to be in effect. */
export const RulesReport = z.strictObject({
  head: Head,
  sections: z.array(SectionVersion.extend({
    /** Departments that the section binds. */
    departments: z.array(Name),
    /** Signature of the department that requested the report. */
    signature: z.string().max(128).optional(),
  })).max(LIMITS.sections),
});
export type RulesReport = z.infer<typeof RulesReport>;
