import { z } from "zod";

/** The attributes of one row of the partition `bootstrap`. */
export const BootstrapRow = z.object({
  /** Peer address of a daemon of the data centre. */
  address: z.string().min(1).max(64),
  /** Counts the writes; a write is conditional on it. */
  revision: z.number().int().min(0),
  /** Wall clock of the writer in ms. Clocks are not trusted: a hint only. */
  writtenAt: z.number(),
});
export type BootstrapRow = z.infer<typeof BootstrapRow>;
