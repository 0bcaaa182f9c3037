import { z } from "zod";
import { ServiceCost } from "./service_cost.ts";

/** What the daemon beside a server has learned about a route. */
export const RouteReport = z.object({
  /** Slot time of one request over its whole call graph. */
  costs: z.array(ServiceCost),
  /**
   * Whether clients send the requests; if not, servers make them while they
   * run others.
   */
  root: z.boolean(),
});
export type RouteReport = z.infer<typeof RouteReport>;
