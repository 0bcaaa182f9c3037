import { z } from "zod";
import { Operation } from "./operation.ts";

/** Settings of a stand-in backend server, passed as JSON in its first argument. */
export const ServerSettings = z.strictObject({
  service: z.string(),
  /** Address and port that it listens on. */
  host: z.string(),
  port: z.number().int(),
  /** Address that it announces if it is reached through a relay. */
  announced: z.string().optional(),
  /** File to which each run appends a line with operation and key. */
  journal: z.string().optional(),
  /** Local listener of its daemon, `host:port`. */
  daemon: z.string(),
  slots: z.number().int(),
  connections: z.number().int(),
  warmupMs: z.number().int().default(0),
  operations: z.array(Operation),
});
export type ServerSettings = z.infer<typeof ServerSettings>;
