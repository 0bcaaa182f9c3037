import type { Resends } from "./resends.ts";

/** Creates the resend state of a daemon, without any callers. */
export function createResends(): Resends {
  return { callers: new Map(), size: 0 };
}
