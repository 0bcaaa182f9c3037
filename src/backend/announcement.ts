import { z } from "zod";

/** What a backend server says of itself in a heartbeat. */
export const Announcement = z.object({
  id: z.string().min(1),
  service: z.string(),
  slots: z.number().int().min(1),
  /** Whether the server asks for no new work. */
  leaving: z.boolean(),
  /** How much longer the server is slow after its start, in ms. */
  coldMs: z.number().min(0),
  /** Increases with each heartbeat of one start of the server. */
  sequence: z.number().int(),
  /** Time of day at which the server started, in ms; orders its starts. */
  startedAt: z.number().int(),
});
export type Announcement = z.infer<typeof Announcement>;
