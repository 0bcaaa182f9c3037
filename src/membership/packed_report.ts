import { z } from "zod";

/**
 * Below the largest safe integer, so that the owner of an entry can still raise
 * its version.
 */
const MAX_VERSION = 2 ** 52;
const Version = z.number().int().min(0).max(MAX_VERSION);
const Name = z.string().min(1).max(64);

/**
 * A report in a message: address, data centre, incarnation, sequence, state,
 * instance, server (service, slots, warm-up in ms) and verdict. A tuple takes
 * about half the bytes of an object, which matters at 2 KB/s per daemon.
 */
export const PackedReport = z.tuple([
  Name,
  Name,
  Version,
  Version,
  z.enum(["up", "leaving", "gone"]),
  z.string().max(32),
  z.tuple([Name, z.number().int().min(1), z.number().int().min(0)]).nullable(),
  z.union([z.literal(0), z.literal(1), z.literal(2)]),
]);
export type PackedReport = z.infer<typeof PackedReport>;
