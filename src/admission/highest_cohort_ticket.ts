import type { DepartmentQueue } from "./department_queue.ts";
import type { Ticket } from "./ticket.ts";

/**
 * Returns the oldest request of the highest cohort; the queue must not be
 * empty.
 */
export function highestCohortTicket(flow: DepartmentQueue): Ticket {
  let index = flow.cohortBitmap.length - 1;
  while (flow.cohortBitmap[index] === 0) index -= 1;
  const cohort = index * 32 + 31 - Math.clz32(flow.cohortBitmap[index]!);
  return flow.buckets.get(cohort)!.values().next().value!;
}
