import { z } from "zod";
import { Digest } from "./digest.ts";

/** One link of the hash chain: which section became which version. */
export const ChangeRecord = z.strictObject({
  sequence: z.number().int().min(1),
  /** Chosen by the submitter; the same for a change that is submitted again. */
  id: z.string().min(1).max(64),
  /** Name of the section. */
  name: z.string().min(1).max(96),
  version: z.number().int().min(1),
  sectionDigest: Digest,
  /** Digest of the change before this one. */
  previous: Digest,
  /** Digest over all sections after this change. */
  stateDigest: Digest,
  /** Digest of the other fields. */
  digest: Digest,
});
export type ChangeRecord = z.infer<typeof ChangeRecord>;
