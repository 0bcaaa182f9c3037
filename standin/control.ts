import { z } from "zod";

const MAX_DELAY_MS = 600_000;

/** Body of `POST /-/control`: how the stand-in treats the requests that follow. */
export const Control = z.strictObject({
  /**
   * `down`: answers 503 and does nothing. `slow`: waits `delayMs` first.
   * `lose-response`: a write takes effect, then the connection is closed.
   * `stale`: reads see the rows of the moment this mode was set.
   */
  mode: z.enum(["up", "down", "slow", "lose-response", "stale"]),
  /** Wait before each request that the mode applies to. */
  delayMs: z.number().min(0).max(MAX_DELAY_MS).default(0),
  /** Number of requests the mode applies to before it is `up` again. */
  count: z.number().int().min(1).optional(),
  /** Writes above this number in one second are throttled. */
  writesPerSecond: z.number().int().min(1).optional(),
});
export type Control = z.infer<typeof Control>;
