import { z } from "zod";
import { Name } from "./name.ts";
import { SubmissionOutcome } from "./submission_outcome.ts";

/** What became of a submitted section that may lack signatures. */
export const SectionOutcome = z.discriminatedUnion("kind", [
  ...SubmissionOutcome.options,
  /** Kept, and not in effect before these departments sign. */
  z.object({ kind: z.literal("pending"), missing: z.array(Name) }),
]);
export type SectionOutcome = z.infer<typeof SectionOutcome>;
