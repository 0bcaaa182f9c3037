import { z } from "zod";

/** A backend server's word that it has left. */
export const Departure = z.object({
  id: z.string().min(1),
  /** Start of the server that leaves, in ms; null where it isn't told. */
  startedAt: z.number().int().nullable(),
});
export type Departure = z.infer<typeof Departure>;
