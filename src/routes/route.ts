import { z } from "zod";

/** Routing rule for the requests of one host and path prefix. */
export const Route = z.object({
  name: z.string(),
  /** Lower case, without a port. */
  host: z.string(),
  /** Begins and ends with a slash. */
  prefix: z.string(),
  /** Services that share the requests in proportion to their weights. */
  parts: z.array(z.object({ service: z.string(), weight: z.number().min(0) }))
    .min(1),
  /** Whether a request may run more than once. */
  repeatable: z.boolean(),
  /** Time after which a request without an answer expires, in ms. */
  timeoutMs: z.number().positive(),
  /** Time within which requests should be answered, in ms. */
  targetLatencyMs: z.number().positive(),
  /** Maximum number of backend servers that one request may be sent to. */
  maxAttempts: z.number().int().min(1),
  /** Importance as a rank, 0 for the most important. */
  rank: z.number().int().min(0),
});
export type Route = z.infer<typeof Route>;
