import { z } from "zod";

/** Body of `/-/control`: the faults that a stand-in backend server injects. */
export const Control = z.strictObject({
  /** Added to the service time of each request, in ms. */
  delayMs: z.number().min(0).default(0),
  /**
   * `reorder` answers each request with the response to the previous one, which
   * simulates a late or reordered response on a reused connection; `lose`
   * executes the request and closes the connection without a response.
   */
  mode: z.enum([
    "normal",
    "fail",
    "shed",
    "hang",
    "truncate",
    "mismatch",
    "lose",
    "reorder",
  ]).default("normal"),
});
export type Control = z.infer<typeof Control>;
