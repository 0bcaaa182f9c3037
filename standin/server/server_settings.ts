import { z } from "zod";
import { Operation } from "./operation.ts";

/** What one stand-in backend server is told by its starter. */
export const ServerSettings = z.strictObject({
  service: z.string(),
  /** Address and port that it listens on. */
  host: z.string(),
  port: z.number().int(),
  /** Address that it announces, where a relay stands before it. */
  announced: z.string().optional(),
  /** File that gets a line with operation and key for each run. */
  journal: z.string().optional(),
  /** Local listener of its daemon, `host:port`. */
  daemon: z.string(),
  slots: z.number().int(),
  connections: z.number().int(),
  warmupMs: z.number().int().default(0),
  operations: z.array(Operation),
});
export type ServerSettings = z.infer<typeof ServerSettings>;
