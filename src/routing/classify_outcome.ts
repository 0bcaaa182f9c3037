import type { Outcome } from "../outcomes/outcome.ts";

/** What an attempt's outcome says about the daemon. */
type Verdict = "alive" | "failure" | "nothing";

type Ending = { outcome: Outcome; load: number | null };

/** Outcomes that this daemon or the caller decides, not the other daemon. */
const OWN_REASONS: ReadonlySet<string> = new Set([
  "cancelled",
  "deadline",
  "unknown-service",
]);

/** A daemon without its server rejects fast, which makes it look idle. */
const FAILED: ReadonlySet<string> = new Set(["connect-failed", "no-server"]);

/**
 * Judges a daemon by the outcome of an attempt. An overload rejection shows
 * that it is alive: ejecting it would move its load to the others.
 */
export function classifyOutcome({ outcome, load }: Ending): Verdict {
  if (outcome.kind === "answered") return "alive";
  if (outcome.kind === "unknown") {
    // With a load report the daemon itself has answered: the time was lost
    // behind it, such as in a slow service further down.
    const behind = outcome.reason === "deadline" && load !== null;
    const nothing = outcome.reason === "cancelled" || behind;
    return nothing ? "nothing" : "failure";
  }
  if (FAILED.has(outcome.reason)) return "failure";
  return OWN_REASONS.has(outcome.reason) ? "nothing" : "alive";
}
