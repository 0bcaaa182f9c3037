import { z } from "zod";

/** The rules that a daemon has in effect, passed through for another module. */
export const RulesMark = z.strictObject({
  sequence: z.number().int().min(0),
  digest: z.string().max(64),
});
export type RulesMark = z.infer<typeof RulesMark>;
