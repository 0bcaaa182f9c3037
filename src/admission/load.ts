import type { Admission } from "./admission.ts";

/** Returns the load reported with responses: (in flight + queued) / limit. */
export function load(admission: Admission): number {
  return (admission.inFlight + admission.queue.size) /
    Math.max(1, admission.limit);
}
