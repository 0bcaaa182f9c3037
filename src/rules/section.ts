import { z } from "zod";
import { Name } from "./name.ts";
import { Terms } from "./terms.ts";

/** Signed terms. Each version of a section replaces the previous one. */
export const Section = z.strictObject({
  version: z.number().int().min(1),
  terms: Terms,
  /** Ed25519 signatures in base64, by department. */
  signatures: z.record(Name, z.string().max(128)),
});
export type Section = z.infer<typeof Section>;
