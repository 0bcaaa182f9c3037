import type { ClassQueue } from "./class_queue.ts";
import { highestCohortTicket } from "./highest_cohort_ticket.ts";
import type { DepartmentQueue } from "./department_queue.ts";
import type { Queue } from "./queue.ts";
import { remove } from "./remove.ts";
import type { Ticket } from "./ticket.ts";

/**
 * Removes and returns the next request: from the highest class, then the
 * department whose turn it is (deficit round robin), then the highest cohort.
 */
export function dequeue(queue: Queue): Ticket | undefined {
  for (let rank = queue.classQueues.length - 1; rank >= 0; rank--) {
    const classQueue = queue.classQueues[rank]!;
    if (classQueue.size === 0) continue;
    const flow: DepartmentQueue = classQueue.departmentQueues.values().next()
      .value!;
    const ticket = highestCohortTicket(flow);
    remove(queue, ticket);
    spendCredit(classQueue, flow);
    return ticket;
  }
  return undefined;
}

/**
 * Charges a started request to the department's credit. A department without
 * credit for another request goes to the end of the round.
 */
function spendCredit(classQueue: ClassQueue, flow: DepartmentQueue): void {
  flow.credit -= 1;
  if (flow.credit >= 1 || flow.size === 0) return;
  flow.credit += flow.weight;
  classQueue.departmentQueues.delete(flow.department);
  classQueue.departmentQueues.set(flow.department, flow);
}
