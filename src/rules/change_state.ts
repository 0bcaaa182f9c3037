import { z } from "zod";
import { Section } from "./section.ts";
import { SubmittedChange } from "./submitted_change.ts";

/** The state of a change id in the store. */
export const ChangeState = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("accepted"), submission: SubmittedChange }),
  /** Still lacks signatures of other departments. */
  z.object({ kind: z.literal("pending"), section: Section }),
  z.object({ kind: z.literal("absent") }),
  z.object({ kind: z.literal("unavailable"), message: z.string() }),
]);
export type ChangeState = z.infer<typeof ChangeState>;
