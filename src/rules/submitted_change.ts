import { z } from "zod";
import { SectionVersion } from "./section_version.ts";

/** The change that was accepted under a change id. */
export const SubmittedChange = SectionVersion.extend({
  sequence: z.number().int().min(1),
});
export type SubmittedChange = z.infer<typeof SubmittedChange>;
