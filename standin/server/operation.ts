import { z } from "zod";

/** One kind of request that a stand-in backend server serves. */
export const Operation = z.strictObject({
  method: z.string(),
  /** Path below the service; a trailing `*` matches any suffix. */
  path: z.string(),
  /** How long the request holds its slot, without nested calls, in ms. */
  workMs: z.number().min(0),
  /** Size of the response body, in bytes. */
  bytes: z.number().int().min(0).default(64),
  /** Nested calls, made in sequence unless `parallel` is set. */
  calls: z.array(z.strictObject({
    method: z.string(),
    path: z.string(),
    step: z.string().optional(),
  })).default([]),
  /** Whether the nested calls are made concurrently. */
  parallel: z.boolean().default(false),
});
export type Operation = z.infer<typeof Operation>;
