import { z } from "zod";
import { Issue } from "../core/issue.ts";

const position = {
  sequence: z.number().int().min(1),
  version: z.number().int().min(1),
};

/** Outcome of a submitted change. */
export const SubmissionOutcome = z.discriminatedUnion("kind", [
  /** Written by this call. */
  z.object({ kind: z.literal("accepted"), ...position }),
  /** Written by an earlier submission with the same change id. */
  z.object({ kind: z.literal("already-accepted"), ...position }),
  /** Another change took this version of the section. */
  z.object({ kind: z.literal("conflict"), ...position, changeId: z.string() }),
  /** The change or the state in the store does not pass the checks. */
  z.object({ kind: z.literal("rejected"), issues: z.array(Issue) }),
  /** Certainly not written. */
  z.object({ kind: z.literal("not-accepted"), message: z.string() }),
  /** May have been written; submitting again with the same id resolves it. */
  z.object({ kind: z.literal("not-known"), message: z.string() }),
]);
export type SubmissionOutcome = z.infer<typeof SubmissionOutcome>;
