import { z } from "zod";

/**
 * The structure of terms without the limits of their fields, so that the
 * semantic checks can run even if fields are invalid.
 */
export const TermsOutline = z.discriminatedUnion("kind", [
  z.looseObject({
    kind: z.literal("department"),
    services: z.array(z.looseObject({
      name: z.string(),
      requests: z.array(z.looseObject({
        name: z.string(),
        method: z.string(),
        path: z.string(),
      })),
    })),
  }),
  z.looseObject({
    kind: z.literal("agreement"),
    parties: z.array(z.string()),
    shares: z.array(z.looseObject({
      service: z.string(),
      weights: z.record(z.string(), z.unknown()),
    })),
  }),
]);
export type TermsOutline = z.infer<typeof TermsOutline>;
