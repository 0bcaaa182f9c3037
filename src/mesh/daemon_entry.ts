import { z } from "zod";
import { Address } from "../core/address.ts";
import { Slots } from "../core/slots.ts";

/**
 * What a daemon tells its peers about itself and its backend server. Fields
 * with a default are absent from the entries of earlier versions.
 */
export const DaemonEntry = z.object({
  name: z.string().min(1),
  /** `IP:PORT` at which the daemon listens for other daemons. */
  address: Address,
  dataCentre: z.string(),
  service: z.string(),
  server: z.object({
    id: z.string(),
    slots: Slots,
    /** Accepts no new requests: the server or its daemon is leaving. */
    leaving: z.boolean(),
    /** The server itself announced that it leaves; it never returns. */
    signedOff: z.boolean().default(false),
    /** Start time reported by the server; 0 if it hasn't reported one. */
    startedAt: z.number().int().min(0).default(0),
    /** The server is still warming up after its start. */
    cold: z.boolean(),
  }).nullable(),
  /** Version of the route table in force; 0 for none. */
  routeVersion: z.number().int().min(0),
  /** The last call to the platform's store was answered. */
  storeReachable: z.boolean().default(true),
  /** The daemon supports large bodies in pieces; earlier versions don't. */
  takesPieces: z.boolean().default(false),
  /** The daemon knows no other daemon yet. */
  alone: z.boolean(),
});
export type DaemonEntry = z.infer<typeof DaemonEntry>;
