import { z } from "zod";
import { ServiceCost } from "./service_cost.ts";

/** Measurements of a route by the daemon of a backend server. */
export const RouteReport = z.object({
  /** Slot time of one request by service, over its whole call graph. */
  costs: z.array(ServiceCost),
  /**
   * Whether clients send the requests; otherwise backend servers send them as
   * nested calls.
   */
  root: z.boolean(),
});
export type RouteReport = z.infer<typeof RouteReport>;
