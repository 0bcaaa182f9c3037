import type { Logger } from "../core/logger.ts";
import { count } from "../metrics/count.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { RateLimitedLogger } from "./rate_limited_logger.ts";

// Maximum lines per second by event; failures get more than successes. Events
// that aren't listed report a changed state and are rare.
const MAX_PER_S: Readonly<Record<string, number>> = {
  "request-answered": 4,
  "request-refused": 10,
  "request-cancelled": 5,
  "request-unrouted": 5,
  "call-refused": 10,
  "call-rejected": 10,
  "client-connection-failed": 2,
};
const DEFAULT_PER_S = 30;
const WINDOW_MS = 1_000;

/**
 * Limits the lines of each event per second. Dropped lines are counted, and the
 * counts are logged once the second is over, before the next line.
 */
export function createRateLimitedLogger(
  write: Logger,
  steadyTime: () => number,
  metrics: Metrics,
): RateLimitedLogger {
  let windowStartedAt = steadyTime();
  const written = new Map<string, number>();
  const dropped = new Map<string, number>();
  const flushDropped = () => {
    windowStartedAt = steadyTime();
    written.clear();
    if (dropped.size === 0) return;
    write("log-dropped", Object.fromEntries(dropped));
    dropped.clear();
  };
  return {
    flushDropped,
    log(event, fields) {
      if (steadyTime() - windowStartedAt >= WINDOW_MS) flushDropped();
      const lines = (written.get(event) ?? 0) + 1;
      written.set(event, lines);
      if (lines <= (MAX_PER_S[event] ?? DEFAULT_PER_S)) write(event, fields);
      else {
        dropped.set(event, (dropped.get(event) ?? 0) + 1);
        count(metrics, "log_lines_dropped", { event });
      }
    },
  };
}
