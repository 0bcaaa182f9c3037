import type { DepartmentQueue } from "./department_queue.ts";
import type { Ticket } from "./ticket.ts";

/** Returns the request of the lowest cohort in a lane that is not empty. */
export function lowestCohortTicket(lane: DepartmentQueue): Ticket {
  let index = 0;
  while (lane.cohortBitmap[index] === 0) index += 1;
  const word = lane.cohortBitmap[index]!;
  const cohort = index * 32 + 31 - Math.clz32(word & -word);
  return lane.buckets.get(cohort)!.values().next().value!;
}
