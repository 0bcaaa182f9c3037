import type { RemoteAttempt } from "./remote_attempt.ts";

/** Result of a probe over a new connection. */
type ProbeResult = {
  /** When the probe was sent, in ms. */
  probedAt: number;
  /** Attempts still running at the daemon; null if it did not answer. */
  running: ReadonlySet<string> | null;
};

const MAX_STALL_TIMEOUT_MS = 8_000;

/**
 * Classifies a stalled attempt after a probe of its daemon. The connection is
 * dead if the daemon cannot be reached, or if it had finished the attempt
 * before the probe and still nothing has arrived. For an attempt that is still
 * running, the stall time-out is doubled.
 */
export function classifyStalled(
  remote: RemoteAttempt,
  { probedAt, running }: ProbeResult,
  now: number,
): "wait" | "dead" {
  if (remote.progressAt >= probedAt) return "wait";
  if (running === null) return "dead";
  if (!running.has(remote.attemptId)) return "dead";
  remote.progressAt = now;
  remote.stallTimeoutMs = Math.min(
    MAX_STALL_TIMEOUT_MS,
    2 * remote.stallTimeoutMs,
  );
  return "wait";
}
