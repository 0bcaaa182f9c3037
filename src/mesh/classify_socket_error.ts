import type { DisconnectCause } from "./disconnect_cause.ts";

const KIND_BY_ERROR_CODE: Readonly<Record<string, DisconnectCause["kind"]>> = {
  ECONNREFUSED: "refused",
  ECONNRESET: "reset",
  EPIPE: "reset",
  ETIMEDOUT: "timeout",
  EHOSTUNREACH: "unreachable",
  ENETUNREACH: "unreachable",
};

/** Maps a socket error to the cause of a link's disconnection. */
export function classifySocketError(
  { code = "", message }: NodeJS.ErrnoException,
): DisconnectCause {
  return { kind: KIND_BY_ERROR_CODE[code] ?? "other", reason: message };
}
