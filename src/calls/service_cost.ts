import { z } from "zod";

/** Slot time that a single request uses at a service, in ms. */
export const ServiceCost = z.object({
  service: z.string(),
  slotMs: z.number().min(0),
});
export type ServiceCost = z.infer<typeof ServiceCost>;
