import { z } from "zod";
import { Digest } from "./digest.ts";

/** Which version of a section is meant, and its digest. */
export const SectionVersion = z.strictObject({
  name: z.string().min(1).max(96),
  version: z.number().int().min(1),
  digest: Digest,
});
export type SectionVersion = z.infer<typeof SectionVersion>;
