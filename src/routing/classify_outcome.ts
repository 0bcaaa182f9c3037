import type { Outcome } from "../outcomes/outcome.ts";

/** What the outcome of an attempt indicates about the health of its daemon. */
type HealthSignal = "alive" | "failure" | "nothing";

type Ending = { outcome: Outcome; load: number | null };

/** Outcomes that this daemon or the caller decides, not the other daemon. */
const NEUTRAL_REASONS: ReadonlySet<string> = new Set([
  "cancelled",
  "deadline",
  "unknown-service",
]);

/**
 * Rejections that count as failures. A daemon without its server rejects
 * quickly and would otherwise look idle.
 */
const FAILURE_REASONS: ReadonlySet<string> = new Set([
  "connect-failed",
  "no-server",
]);

/**
 * Classifies the outcome of an attempt. An overload rejection shows that the
 * daemon is alive: ejecting it would move its load to the others.
 */
export function classifyOutcome({ outcome, load }: Ending): HealthSignal {
  if (outcome.kind === "answered") return "alive";
  if (outcome.kind === "unknown") {
    // With a load report the daemon itself has answered: the time was lost
    // downstream of it, such as in a slow nested service.
    const downstream = outcome.reason === "deadline" && load !== null;
    const inconclusive = outcome.reason === "cancelled" || downstream;
    return inconclusive ? "nothing" : "failure";
  }
  if (FAILURE_REASONS.has(outcome.reason)) return "failure";
  return NEUTRAL_REASONS.has(outcome.reason) ? "nothing" : "alive";
}
