import { z } from "zod";
import { Name } from "./name.ts";

const MAX_WEIGHT = 1_000;

/** Weights of the parties of an agreement at one service, or at every service (`*`). */
export const Share = z.strictObject({
  service: z.union([z.literal("*"), Name]),
  /** Integers, so that the canonical text never depends on rounding. */
  weights: z.record(Name, z.number().int().min(1).max(MAX_WEIGHT)),
});
export type Share = z.infer<typeof Share>;
