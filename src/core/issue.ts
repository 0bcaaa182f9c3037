import { z } from "zod";

/** A problem found in input: a stable code, its path and a readable message. */
export const Issue = z.object({
  code: z.string(),
  path: z.array(z.union([z.string(), z.number()])),
  message: z.string(),
});
export type Issue = z.infer<typeof Issue>;
