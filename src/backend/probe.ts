import { z } from "zod";
import { Slots } from "../core/slots.ts";

/** Data that a backend server returns to a health check. */
export const Probe = z.object({
  id: z.string(),
  slots: Slots,
});
export type Probe = z.infer<typeof Probe>;
