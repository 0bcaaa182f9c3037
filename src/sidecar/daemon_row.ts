import { z } from "zod";

/** Row by which daemons find each other. */
export const DaemonRow = z.object({
  address: z.string().regex(/^[\d.]+:\d+$/),
});
export type DaemonRow = z.infer<typeof DaemonRow>;
