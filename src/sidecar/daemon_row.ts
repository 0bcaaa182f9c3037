import { z } from "zod";

/** Row of the platform's store by which daemons discover each other. */
export const DaemonRow = z.object({
  address: z.string().regex(/^[\d.]+:\d+$/),
});
export type DaemonRow = z.infer<typeof DaemonRow>;
