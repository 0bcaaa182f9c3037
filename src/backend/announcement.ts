import { z } from "zod";

/** Contents of a heartbeat of a backend server. */
export const Announcement = z.object({
  id: z.string().min(1),
  service: z.string(),
  slots: z.number().int().min(1),
  /** Whether the server wants no new requests. */
  leaving: z.boolean(),
  /** How much longer the server stays slow after its start, in ms. */
  coldMs: z.number().min(0),
  /** Increases with each heartbeat until the server restarts. */
  sequence: z.number().int(),
  /** Wall-clock time at which the server started, in ms; orders its starts. */
  startedAt: z.number().int(),
});
export type Announcement = z.infer<typeof Announcement>;
