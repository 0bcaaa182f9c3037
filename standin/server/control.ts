import { z } from "zod";

/** How a stand-in backend server misbehaves. */
export const Control = z.strictObject({
  /** Added to each request's work, in ms. */
  delayMs: z.number().min(0).default(0),
  /**
   * `reorder` answers each request with the response to the one before it, as
   * a late or reordered response on a connection that is used again; `lose`
   * closes the connection after the run instead of answering.
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
