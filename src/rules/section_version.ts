import { z } from "zod";
import { Digest } from "./digest.ts";

/** A version of a section, with its digest. */
export const SectionVersion = z.strictObject({
  name: z.string().min(1).max(96),
  version: z.number().int().min(1),
  digest: Digest,
});
export type SectionVersion = z.infer<typeof SectionVersion>;
