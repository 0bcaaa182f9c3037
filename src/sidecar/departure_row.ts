import { z } from "zod";
import { Departure } from "../backend/departure.ts";

/**
 * Row of the platform's store that records the departure of a backend server,
 * so that a restart of the daemon that acknowledged it doesn't forget it.
 */
export const DepartureRow = Departure.extend({
  startedAt: z.number().int(),
});
export type DepartureRow = z.infer<typeof DepartureRow>;
