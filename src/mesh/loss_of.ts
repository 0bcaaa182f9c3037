import type { Loss } from "./loss.ts";

const KINDS: Readonly<Record<string, Loss["kind"]>> = {
  ECONNREFUSED: "refused",
  ECONNRESET: "reset",
  EPIPE: "reset",
  ETIMEDOUT: "timeout",
  EHOSTUNREACH: "unreachable",
  ENETUNREACH: "unreachable",
};

/** Returns the loss of a link whose socket failed. */
export function lossOf({ code = "", message }: NodeJS.ErrnoException): Loss {
  return { kind: KINDS[code] ?? "other", reason: message };
}
