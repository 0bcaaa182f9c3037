import { z } from "zod";
import { Address } from "../core/address.ts";

/** Row of the platform's store by which daemons discover each other. */
export const DaemonRow = z.object({
  address: Address,
});
export type DaemonRow = z.infer<typeof DaemonRow>;
