import { COHORTS } from "../context/cohorts.ts";
import { updateCohortCounts } from "./update_cohort_counts.ts";
import type { Queue } from "./queue.ts";
import { rankOf } from "./rank_of.ts";
import { resizeDepartmentQueue } from "./resize_department_queue.ts";
import type { Ticket } from "./ticket.ts";

/** Removes a request from the queue. Returns whether it was queued. */
export function remove(queue: Queue, ticket: Ticket): boolean {
  const classQueue = queue.classQueues[rankOf(ticket.priority)]!;
  const cohort = ticket.priority % COHORTS;
  const flow = classQueue.departmentQueues.get(ticket.department);
  const bucket = flow?.buckets.get(cohort);
  if (flow === undefined || !bucket?.delete(ticket)) return false;
  if (bucket.size === 0) {
    flow.buckets.delete(cohort);
    flow.cohortBitmap[cohort >> 5]! &= ~(1 << (cohort & 31));
  }
  if (queue.byId.get(ticket.id) === ticket) queue.byId.delete(ticket.id);
  queue.size -= 1;
  resizeDepartmentQueue(classQueue, flow, -1);
  updateCohortCounts(classQueue, cohort, -1);
  if (flow.size === 0) classQueue.departmentQueues.delete(flow.department);
  return true;
}
