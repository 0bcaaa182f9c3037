import { z } from "zod";

/** Message by which a backend server signs off. */
export const Departure = z.object({
  id: z.string().min(1),
  /** Start time of the departing server, in ms; null if not reported. */
  startedAt: z.number().int().nullable(),
});
export type Departure = z.infer<typeof Departure>;
