import { z } from "zod";

const MAX_SLOTS = 100_000;

/** Data that a backend server returns to a health check. */
export const Probe = z.object({
  id: z.string(),
  slots: z.number().int().min(1).max(MAX_SLOTS),
});
export type Probe = z.infer<typeof Probe>;
