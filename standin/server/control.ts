import { z } from "zod";

/** How a stand-in backend server misbehaves. */
export const Control = z.strictObject({
  /** Added to each request's work, in ms. */
  delayMs: z.number().min(0).default(0),
  mode: z.enum(["normal", "fail", "shed", "hang", "truncate", "mismatch"])
    .default("normal"),
});
export type Control = z.infer<typeof Control>;
