import type { Directory } from "./directory.ts";
import type { Entry } from "./entry.ts";

/**
 * Derives the state and server of the own entry from the shutdown phase and the
 * announcement.
 */
export function deriveOwnState(
  { announcement, phase }: Directory,
): Pick<Entry, "state" | "server"> {
  if (phase === "gone") return { state: "gone", server: null };
  const leaving = phase === "leaving" || announcement?.state === "leaving";
  return {
    state: leaving ? "leaving" : "up",
    server: announcement && {
      service: announcement.service,
      slots: announcement.slots,
      warmupMs: announcement.warmupMs,
    },
  };
}
