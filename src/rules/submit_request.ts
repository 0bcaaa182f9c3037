import { z } from "zod";
import { ChangeRecord } from "./change_record.ts";
import { Section } from "./section.ts";

/** Body of `POST /-/rules/submit`: a section that the client has signed. */
export const SubmitRequest = z.strictObject({
  section: Section,
  changeId: ChangeRecord.shape.id,
});
export type SubmitRequest = z.infer<typeof SubmitRequest>;
