import { COHORTS } from "../context/cohorts.ts";
import type { Queue } from "./queue.ts";
import { rankOf } from "./rank_of.ts";
import type { Ticket } from "./ticket.ts";

/** Returns how many queued requests would start before this one. */
export function queuePosition(queue: Queue, ticket: Ticket): number {
  const rank = rankOf(ticket.priority);
  let ahead = 0;
  for (let above = rank + 1; above < queue.classQueues.length; above++) {
    ahead += queue.classQueues[above]!.size;
  }
  const band = queue.classQueues[rank]!;
  let lower = 0;
  for (let at = ticket.priority % COHORTS; at > 0; at -= at & -at) {
    lower += band.cohortCounts[at]!;
  }
  // Turns between departments bound the wait of one with a short queue.
  const own = band.departmentQueues.get(ticket.department)?.size ?? 0;
  return ahead +
    Math.min(band.size - lower, (own + 1) * band.departmentQueues.size);
}
