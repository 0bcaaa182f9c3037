import { z } from "zod";

/** What a daemon says of itself and of the backend server beside it. */
export const DaemonEntry = z.object({
  name: z.string().min(1),
  /** Address of the listener for other daemons, `IP:PORT`. */
  address: z.string().min(1),
  dataCentre: z.string(),
  service: z.string(),
  server: z.object({
    id: z.string(),
    slots: z.number().int().min(1),
    /** Takes no new work: it leaves, or its daemon does. */
    leaving: z.boolean(),
    /** The server itself has said that it leaves; it never comes back. */
    signedOff: z.boolean().default(false),
    /** Start of the server as it tells it; 0 where it hasn't. */
    startedAt: z.number().int().min(0).default(0),
    /** Whether the server is still slow after its start. */
    cold: z.boolean(),
  }).nullable(),
  /** Version of the route table in force, 0 for none. */
  routeVersion: z.number().int().min(0),
  /** Whether the platform's store answered the daemon's last call. */
  storeReachable: z.boolean().default(true),
  /** Whether the daemon takes large bodies in pieces; earlier ones didn't. */
  takesPieces: z.boolean().default(false),
  /** Whether the daemon knows no other daemon yet. */
  alone: z.boolean(),
});
export type DaemonEntry = z.infer<typeof DaemonEntry>;
