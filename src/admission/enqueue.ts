import { COHORTS } from "../context/cohorts.ts";
import type { ClassQueue } from "./class_queue.ts";
import { updateCohortCounts } from "./update_cohort_counts.ts";
import type { DepartmentQueue } from "./department_queue.ts";
import type { Queue } from "./queue.ts";
import { rankOf } from "./rank_of.ts";
import { resizeDepartmentQueue } from "./resize_department_queue.ts";
import type { Ticket } from "./ticket.ts";

export function enqueue(queue: Queue, ticket: Ticket): void {
  const classQueue = queue.classQueues[rankOf(ticket.priority)]!;
  const cohort = ticket.priority % COHORTS;
  const flow = departmentQueueOf(queue, classQueue, ticket.department);
  let bucket = flow.buckets.get(cohort);
  if (bucket === undefined) {
    bucket = new Set();
    flow.buckets.set(cohort, bucket);
    flow.cohortBitmap[cohort >> 5]! |= 1 << (cohort & 31);
  }
  bucket.add(ticket);
  queue.byId.set(ticket.id, ticket);
  queue.size += 1;
  resizeDepartmentQueue(classQueue, flow, 1);
  updateCohortCounts(classQueue, cohort, 1);
}

function departmentQueueOf(
  queue: Queue,
  classQueue: ClassQueue,
  department: string,
): DepartmentQueue {
  let flow = classQueue.departmentQueues.get(department);
  if (flow === undefined) {
    const weight = queue.weights.get(department) ?? 1;
    flow = {
      department,
      weight,
      credit: weight,
      size: 0,
      cohortBitmap: new Array<number>(COHORTS / 32).fill(0),
      buckets: new Map(),
    };
    classQueue.departmentQueues.set(department, flow);
  }
  return flow;
}
