import { z } from "zod";

/**
 * Attributes of a row in the partition `bootstrap`, which names a daemon that
 * new daemons can join through.
 */
export const BootstrapRow = z.object({
  /** Peer address of a daemon of the data centre. */
  address: z.string().min(1).max(64),
  /** Incremented by every write; a write is conditional on it. */
  revision: z.number().int().min(0),
  /**
   * Wall clock of the writer, in ms. Only a hint, since clocks may be wrong.
   */
  writtenAt: z.number(),
});
export type BootstrapRow = z.infer<typeof BootstrapRow>;
