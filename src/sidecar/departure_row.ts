import { z } from "zod";
import { Departure } from "../backend/departure.ts";

/**
 * Row that makes the departure of a backend server outlast the daemon that
 * acknowledged it.
 */
export const DepartureRow = Departure.extend({
  startedAt: z.number().int(),
});
export type DepartureRow = z.infer<typeof DepartureRow>;
