import type { ClassQueue } from "./class_queue.ts";
import { highestCohortTicket } from "./highest_cohort_ticket.ts";
import type { DepartmentQueue } from "./department_queue.ts";
import type { Queue } from "./queue.ts";
import { remove } from "./remove.ts";
import type { Ticket } from "./ticket.ts";

/**
 * Removes and returns the next request: of the highest class, of the
 * department whose turn it is (deficit round robin), of the highest cohort.
 */
export function dequeue(queue: Queue): Ticket | undefined {
  for (let rank = queue.classQueues.length - 1; rank >= 0; rank--) {
    const band = queue.classQueues[rank]!;
    if (band.size === 0) continue;
    const lane: DepartmentQueue = band.departmentQueues.values().next().value!;
    const ticket = highestCohortTicket(lane);
    remove(queue, ticket);
    takeTurn(band, lane);
    return ticket;
  }
  return undefined;
}

function takeTurn(band: ClassQueue, lane: DepartmentQueue): void {
  lane.credit -= 1;
  if (lane.credit >= 1 || lane.size === 0) return;
  lane.credit += lane.weight;
  band.departmentQueues.delete(lane.department);
  band.departmentQueues.set(lane.department, lane);
}
