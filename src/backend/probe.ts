import { z } from "zod";

/** What a health check tells of the server that answered it. */
export const Probe = z.object({
  id: z.string(),
  slots: z.number().int().min(1),
});
export type Probe = z.infer<typeof Probe>;
