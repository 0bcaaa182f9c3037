import type { DisconnectCause } from "./disconnect_cause.ts";

const KINDS: Readonly<Record<string, DisconnectCause["kind"]>> = {
  ECONNREFUSED: "refused",
  ECONNRESET: "reset",
  EPIPE: "reset",
  ETIMEDOUT: "timeout",
  EHOSTUNREACH: "unreachable",
  ENETUNREACH: "unreachable",
};

/** Returns the loss of a link whose socket failed. */
export function classifySocketError(
  { code = "", message }: NodeJS.ErrnoException,
): DisconnectCause {
  return { kind: KINDS[code] ?? "other", reason: message };
}
