import type { Admission } from "./admission.ts";

/** Returns (in flight + queued) / limit, the load reported with responses. */
export function load(admission: Admission): number {
  return (admission.inFlight + admission.queue.size) /
    Math.max(1, admission.limit);
}
