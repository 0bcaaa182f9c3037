import type { DepartmentQueue } from "./department_queue.ts";
import type { Ticket } from "./ticket.ts";

/**
 * Returns the oldest request of the lowest cohort; the queue must not be empty.
 */
export function lowestCohortTicket(flow: DepartmentQueue): Ticket {
  let index = 0;
  while (flow.cohortBitmap[index] === 0) index += 1;
  const word = flow.cohortBitmap[index]!;
  const cohort = index * 32 + 31 - Math.clz32(word & -word);
  return flow.buckets.get(cohort)!.values().next().value!;
}
