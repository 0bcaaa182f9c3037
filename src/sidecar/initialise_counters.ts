import { count } from "../metrics/count.ts";
import type { Metrics } from "../metrics/metrics.ts";
import { Counters } from "./counters.ts";

/**
 * Exports the counters with known labels as 0 from the start: Prometheus'
 * `increase()` misses the first increment of a counter that appears with it.
 */
export function initialiseCounters(metrics: Metrics): void {
  for (const [name, { series }] of Object.entries(Counters)) {
    for (const labels of series) count(metrics, name, labels, 0);
  }
}
