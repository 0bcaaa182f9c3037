import type { ClassQueue } from "./class_queue.ts";
import type { DepartmentQueue } from "./department_queue.ts";
import { lowestCohortTicket } from "./lowest_cohort_ticket.ts";
import type { Queue } from "./queue.ts";
import { rankOf } from "./rank_of.ts";
import type { Ticket } from "./ticket.ts";

/**
 * Returns the queued request to evict from a full queue in favour of `ticket`,
 * or undefined if `ticket` itself ranks lowest. The lowest class is evicted
 * first, and within a class the department with the longest queue relative to
 * its weight.
 */
export function evictionCandidate(
  queue: Queue,
  ticket: Ticket,
): Ticket | undefined {
  const rank = rankOf(ticket.priority);
  const lowestRank = queue.classQueues.findIndex((queued) => queued.size > 0);
  if (lowestRank < 0 || lowestRank > rank) return undefined;
  const classQueue = queue.classQueues[lowestRank]!;
  const longest = longestQueue(classQueue);
  const candidate = lowestCohortTicket(longest);
  if (lowestRank < rank) return candidate;
  const own = classQueue.departmentQueues.get(ticket.department);
  const weight = queue.weights.get(ticket.department) ?? 1;
  const lengthWithTicket = ((own?.size ?? 0) + 1) / weight;
  if (own !== longest && lengthWithTicket < longest.size / longest.weight) {
    return candidate;
  }
  const lowestTicket = own === undefined || own === longest
    ? candidate
    : lowestCohortTicket(own);
  return lowestTicket.priority < ticket.priority ? lowestTicket : undefined;
}

function longestQueue(classQueue: ClassQueue): DepartmentQueue {
  return classQueue.bySize[classQueue.longestIndex]!.values().next().value!;
}
