import { COHORTS } from "../context/cohorts.ts";
import type { Queue } from "./queue.ts";
import { rankOf } from "./rank_of.ts";
import type { Ticket } from "./ticket.ts";

/** Returns the number of queued requests that would start before this one. */
export function queuePosition(queue: Queue, ticket: Ticket): number {
  const rank = rankOf(ticket.priority);
  let ahead = 0;
  for (let higher = rank + 1; higher < queue.classQueues.length; higher++) {
    ahead += queue.classQueues[higher]!.size;
  }
  const classQueue = queue.classQueues[rank]!;
  let lower = 0;
  for (
    let index = ticket.priority % COHORTS;
    index > 0;
    index -= index & -index
  ) {
    lower += classQueue.cohortCounts[index]!;
  }
  // Round robin bounds the number of requests ahead of a short department
  // queue.
  const own = classQueue.departmentQueues.get(ticket.department)?.size ?? 0;
  return ahead +
    Math.min(
      classQueue.size - lower,
      (own + 1) * classQueue.departmentQueues.size,
    );
}
