import type { ClassQueue } from "./class_queue.ts";
import type { DepartmentQueue } from "./department_queue.ts";
import { lowestCohortTicket } from "./lowest_cohort_ticket.ts";
import type { Queue } from "./queue.ts";
import { rankOf } from "./rank_of.ts";
import type { Ticket } from "./ticket.ts";

/**
 * Returns the queued request that has to make room for another one in a full
 * queue, or undefined where the other one is the lowest itself. Inside a class
 * the department with the longest queue gives way first.
 */
export function evictionCandidate(
  queue: Queue,
  ticket: Ticket,
): Ticket | undefined {
  const rank = rankOf(ticket.priority);
  const lower = queue.classQueues.findIndex((band) => band.size > 0);
  if (lower < 0 || lower > rank) return undefined;
  const band = queue.classQueues[lower]!;
  const longest = longestLane(band);
  const candidate = lowestCohortTicket(longest);
  if (lower < rank) return candidate;
  const own = band.departmentQueues.get(ticket.department);
  const weight = queue.weights.get(ticket.department) ?? 1;
  const grown = ((own?.size ?? 0) + 1) / weight;
  if (own !== longest && grown < longest.size / longest.weight) {
    return candidate;
  }
  const rival = own === undefined || own === longest
    ? candidate
    : lowestCohortTicket(own);
  return rival.priority < ticket.priority ? rival : undefined;
}

function longestLane(band: ClassQueue): DepartmentQueue {
  return band.bySize[band.longestIndex]!.values().next().value!;
}
