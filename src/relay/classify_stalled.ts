import type { RemoteAttempt } from "./remote_attempt.ts";

/** What a probe on a new connection has shown. */
type ProbeResult = {
  /** When the probe was sent, in ms. */
  askedAt: number;
  /** Attempts still running there; null where no answer came. */
  running: ReadonlySet<string> | null;
};

const MAX_STALL_TIMEOUT_MS = 8_000;

/**
 * Decides on one stalled attempt after the probe. The connection is dead where
 * the daemon cannot be reached at all, and where it has finished the attempt
 * before the probe and still nothing has arrived.
 */
export function classifyStalled(
  remote: RemoteAttempt,
  { askedAt, running }: ProbeResult,
  now: number,
): "wait" | "dead" {
  if (remote.progressAt >= askedAt) return "wait";
  if (running === null) return "dead";
  if (!running.has(remote.attemptId)) return "dead";
  remote.progressAt = now;
  remote.stallTimeoutMs = Math.min(
    MAX_STALL_TIMEOUT_MS,
    2 * remote.stallTimeoutMs,
  );
  return "wait";
}
