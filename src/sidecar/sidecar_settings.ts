import { z } from "zod";
import { Address } from "../core/address.ts";

/** Settings of a sidecar daemon. */
export const SidecarSettings = z.object({
  name: z.string().min(1),
  ip: z.string().min(1),
  dataCentre: z.string(),
  /** Service of the backend server on this VM. */
  service: z.string(),
  serverAddress: Address,
  listen: z.object({
    /** For requests of clients and of the local backend server. */
    calls: Address,
    readiness: Address,
    /** For heartbeats of the local backend server. */
    announcements: Address,
    /** For links from other daemons. */
    mesh: Address,
    metrics: Address,
  }),
  /** Address at which other daemons reach this one. */
  meshAddress: Address,
  storeAddress: Address,
  heartbeatMs: z.number().positive(),
  /** Memory above which the process is killed. */
  memoryBytes: z.number().positive(),
  /** Time between SIGTERM and SIGKILL, in ms. */
  gracePeriodMs: z.number().positive(),
  retries: z.object({
    /** Retries that each request of a service allows the whole fleet. */
    ratio: z.number().min(0),
    /** Retries that the whole fleet may make in addition. */
    slack: z.number().min(0),
  }),
});
export type SidecarSettings = z.infer<typeof SidecarSettings>;
