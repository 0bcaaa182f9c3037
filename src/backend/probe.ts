import { z } from "zod";

/** Data that a backend server returns to a health check. */
export const Probe = z.object({
  id: z.string(),
  slots: z.number().int().min(1),
});
export type Probe = z.infer<typeof Probe>;
