import { z } from "zod";
import { Route } from "./route.ts";

/** All routes of one version of the configuration. */
export const RouteTable = z.object({
  version: z.number().int().min(0),
  routes: z.array(Route),
  services: z.map(
    z.string(),
    z.object({
      healthPath: z.string(),
      /** Maximum connections of a backend server, from all callers. */
      maxConnections: z.number().int().min(1),
    }),
  ),
  limits: z.object({
    headBytes: z.number().int().positive(),
    bodyBytes: z.number().int().positive(),
    /** Maximum time from the first byte of a head to its last, in ms. */
    headTimeoutMs: z.number().positive(),
    /** Time after which an idle connection is closed, in ms. */
    idleTimeoutMs: z.number().positive(),
  }),
});
export type RouteTable = z.infer<typeof RouteTable>;
