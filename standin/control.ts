import { z } from "zod";

const MAX_DELAY_MS = 600_000;

/** Body of `POST /-/control`: the faults injected into subsequent requests. */
export const Control = z.strictObject({
  /**
   * `down`: responds 503 and executes nothing. `slow`: delays each request by
   * `delayMs`. `lose-response`: executes a write and closes the connection
   * without a response. `stale`: reads return the content at the time when the
   * mode was set.
   */
  mode: z.enum(["up", "down", "slow", "lose-response", "stale"]),
  /** Delay of each request that the mode applies to, in ms. */
  delayMs: z.number().min(0).max(MAX_DELAY_MS).default(0),
  /** Number of requests that the mode applies to; later ones are treated as `up`. */
  count: z.number().int().min(1).optional(),
  /** Rate limit of writes; writes above it are throttled. */
  writesPerSecond: z.number().int().min(1).optional(),
});
export type Control = z.infer<typeof Control>;
