import type { Resends } from "./resends.ts";

/** Creates the resend buckets of a daemon. */
export function createResends(): Resends {
  return { callers: new Map(), size: 0 };
}
