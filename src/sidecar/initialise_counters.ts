import { count } from "../metrics/count.ts";
import type { Metrics } from "../metrics/metrics.ts";
import { Counters } from "./counters.ts";

/** Starts counters at 0: the first step of one that appears late isn't seen. */
export function initialiseCounters(metrics: Metrics): void {
  for (const [name, { series }] of Object.entries(Counters)) {
    for (const labels of series) count(metrics, name, labels, 0);
  }
}
