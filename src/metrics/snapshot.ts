import { z } from "zod";

const Labels = z.record(z.string(), z.string());

/** Values of all metrics at one time, as `/-/metrics` returns them in JSON. */
export const Snapshot = z.object({
  counters: z.array(z.object({
    name: z.string(),
    labels: Labels,
    value: z.number(),
  })),
  histograms: z.array(z.object({
    name: z.string(),
    labels: Labels,
    count: z.number(),
    sumMs: z.number(),
    p50Ms: z.number(),
    p90Ms: z.number(),
    p99Ms: z.number(),
    p999Ms: z.number(),
    maxMs: z.number(),
  })),
  /** Number of measurements past the cap on label combinations. */
  overflowed: z.number(),
});
export type Snapshot = z.infer<typeof Snapshot>;
