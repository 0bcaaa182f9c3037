import { COHORTS } from "../context/cohorts.ts";
import type { ClassQueue } from "./class_queue.ts";
import { updateCohortCounts } from "./update_cohort_counts.ts";
import type { DepartmentQueue } from "./department_queue.ts";
import type { Queue } from "./queue.ts";
import { rankOf } from "./rank_of.ts";
import { resizeDepartmentQueue } from "./resize_department_queue.ts";
import type { Ticket } from "./ticket.ts";

/** Adds a request to the queue. */
export function enqueue(queue: Queue, ticket: Ticket): void {
  const band = queue.classQueues[rankOf(ticket.priority)]!;
  const cohort = ticket.priority % COHORTS;
  const lane = laneOf(queue, band, ticket.department);
  let bucket = lane.buckets.get(cohort);
  if (bucket === undefined) {
    bucket = new Set();
    lane.buckets.set(cohort, bucket);
    lane.cohortBitmap[cohort >> 5]! |= 1 << (cohort & 31);
  }
  bucket.add(ticket);
  queue.byId.set(ticket.id, ticket);
  queue.size += 1;
  resizeDepartmentQueue(band, lane, 1);
  updateCohortCounts(band, cohort, 1);
}

function laneOf(
  queue: Queue,
  band: ClassQueue,
  department: string,
): DepartmentQueue {
  let lane = band.departmentQueues.get(department);
  if (lane === undefined) {
    const weight = queue.weights.get(department) ?? 1;
    lane = {
      department,
      weight,
      credit: weight,
      size: 0,
      cohortBitmap: new Array<number>(COHORTS / 32).fill(0),
      buckets: new Map(),
    };
    band.departmentQueues.set(department, lane);
  }
  return lane;
}
