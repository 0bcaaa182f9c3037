import { z } from "zod";
import { ChangeRecord } from "./change_record.ts";
import { Section } from "./section.ts";

/**
 * A change as it is read from the store and sent between daemons: its record
 * and the new section.
 */
export const Change = z.strictObject({
  record: ChangeRecord,
  section: Section,
});
export type Change = z.infer<typeof Change>;
