import { z } from "zod";

/**
 * One daemon in the directory. Only the daemon itself writes its entry;
 * versions are ordered by (incarnation, sequence).
 */
export const Entry = z.strictObject({
  /** Address of its peer listener, `host:port`; also its id. */
  address: z.string().max(64),
  dataCentre: z.string().max(64),
  incarnation: z.number().int().min(0),
  sequence: z.number().int().min(0),
  state: z.enum(["up", "leaving", "gone"]),
  /** Random id of the process, the same as in its execution tokens. */
  instance: z.string().max(32),
  /** Its backend server, or null while none is announced. */
  server: z.strictObject({
    service: z.string().max(64),
    slots: z.number().int().min(1),
    warmupMs: z.number().int().min(0),
  }).nullable(),
});
export type Entry = z.infer<typeof Entry>;
