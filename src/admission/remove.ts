import { COHORTS } from "../context/cohorts.ts";
import { updateCohortCounts } from "./update_cohort_counts.ts";
import type { Queue } from "./queue.ts";
import { rankOf } from "./rank_of.ts";
import { resizeDepartmentQueue } from "./resize_department_queue.ts";
import type { Ticket } from "./ticket.ts";

/** Removes a request from the queue; returns whether it was queued. */
export function remove(queue: Queue, ticket: Ticket): boolean {
  const band = queue.classQueues[rankOf(ticket.priority)]!;
  const cohort = ticket.priority % COHORTS;
  const lane = band.departmentQueues.get(ticket.department);
  const bucket = lane?.buckets.get(cohort);
  if (lane === undefined || !bucket?.delete(ticket)) return false;
  if (bucket.size === 0) {
    lane.buckets.delete(cohort);
    lane.cohortBitmap[cohort >> 5]! &= ~(1 << (cohort & 31));
  }
  if (queue.byId.get(ticket.id) === ticket) queue.byId.delete(ticket.id);
  queue.size -= 1;
  resizeDepartmentQueue(band, lane, -1);
  updateCohortCounts(band, cohort, -1);
  if (lane.size === 0) band.departmentQueues.delete(lane.department);
  return true;
}
