import { z } from "zod";
import { Digest } from "./digest.ts";

/** One link of the hash chain: which section changed to which version. */
export const ChangeRecord = z.strictObject({
  sequence: z.number().int().min(1),
  /**
   * Chosen by the submitter, and the same when the change is submitted again.
   */
  id: z.string().min(1).max(64),
  /** Name of the section. */
  name: z.string().min(1).max(96),
  version: z.number().int().min(1),
  sectionDigest: Digest,
  /** Digest of the preceding change. */
  previous: Digest,
  /** Digest of the versions of all sections after this change. */
  stateDigest: Digest,
  /** Digest of the other fields. */
  digest: Digest,
});
export type ChangeRecord = z.infer<typeof ChangeRecord>;
