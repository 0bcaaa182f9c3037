import { z } from "zod";
import { Name } from "./name.ts";
import { SubmissionOutcome } from "./submission_outcome.ts";

/** Outcome of submitting a section, which may lack signatures. */
export const SectionOutcome = z.discriminatedUnion("kind", [
  ...SubmissionOutcome.options,
  /** Stored; takes effect only after these departments have signed. */
  z.object({ kind: z.literal("pending"), missing: z.array(Name) }),
]);
export type SectionOutcome = z.infer<typeof SectionOutcome>;
