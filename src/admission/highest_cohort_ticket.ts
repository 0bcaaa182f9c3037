import type { DepartmentQueue } from "./department_queue.ts";
import type { Ticket } from "./ticket.ts";

/** Returns the request of the highest cohort in a lane that is not empty. */
export function highestCohortTicket(lane: DepartmentQueue): Ticket {
  let index = lane.cohortBitmap.length - 1;
  while (lane.cohortBitmap[index] === 0) index -= 1;
  const cohort = index * 32 + 31 - Math.clz32(lane.cohortBitmap[index]!);
  return lane.buckets.get(cohort)!.values().next().value!;
}
