import { z } from "zod";

const Address = z.string().regex(/^[\d.]+:\d+$/);

/** Settings of a daemon beside a backend server. */
export const SidecarSettings = z.object({
  name: z.string().min(1),
  ip: z.string().min(1),
  dataCentre: z.string(),
  /** Service of the backend server on this VM. */
  service: z.string(),
  serverAddress: Address,
  listen: z.object({
    /** For clients and the own backend server. */
    calls: Address,
    readiness: Address,
    /** For heartbeats of the own backend server. */
    announcements: Address,
    /** For other daemons. */
    mesh: Address,
    metrics: Address,
  }),
  /** Where other daemons reach this one. */
  meshAddress: Address,
  storeAddress: Address,
  heartbeatMs: z.number().positive(),
  /** Memory above which the process is killed. */
  memoryBytes: z.number().positive(),
  /** Time between SIGTERM and SIGKILL, in ms. */
  gracePeriodMs: z.number().positive(),
  retries: z.object({
    /** Repeats that each request of a service allows the whole fleet. */
    ratio: z.number().min(0),
    /** Repeats that the whole fleet may make besides. */
    slack: z.number().min(0),
  }),
});
export type SidecarSettings = z.infer<typeof SidecarSettings>;
