import { z } from "zod";

/** One problem found in input: a stable code, where it is, and a sentence for people. */
export const Issue = z.object({
  code: z.string(),
  path: z.array(z.union([z.string(), z.number()])),
  message: z.string(),
});
export type Issue = z.infer<typeof Issue>;
