import { z } from "zod";
import { Digest } from "./digest.ts";

/**
 * The newest change known to the store or to a daemon. Sequence 0 is the empty
 * state.
 */
export const Head = z.strictObject({
  sequence: z.number().int().min(0),
  digest: Digest,
  changeId: z.string().max(64),
});
export type Head = z.infer<typeof Head>;
