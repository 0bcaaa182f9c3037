import type { RemoteAttempt } from "./remote_attempt.ts";

/** What a probe on a new connection has shown. */
type Finding = {
  /** When the probe was sent, in ms. */
  askedAt: number;
  /** Attempts still running there; null where no answer came. */
  running: ReadonlySet<string> | null;
};

const LONGEST_PATIENCE_MS = 8_000;

/**
 * Decides on one stalled attempt after the probe. The connection is dead where
 * the daemon cannot be reached at all, and where it has finished the attempt
 * before the probe and still nothing has arrived.
 */
export function judgeStalled(
  remote: RemoteAttempt,
  { askedAt, running }: Finding,
  now: number,
): "wait" | "dead" {
  if (remote.progressAt >= askedAt) return "wait";
  if (running === null) return "dead";
  if (!running.has(remote.attemptId)) return "dead";
  remote.progressAt = now;
  remote.patienceMs = Math.min(LONGEST_PATIENCE_MS, 2 * remote.patienceMs);
  return "wait";
}
