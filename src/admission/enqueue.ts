import { COHORTS } from "../context/cohorts.ts";
import type { Band } from "./band.ts";
import { countCohort } from "./count_cohort.ts";
import type { Lane } from "./lane.ts";
import type { Queue } from "./queue.ts";
import { rankOf } from "./rank_of.ts";
import { resizeLane } from "./resize_lane.ts";
import type { Ticket } from "./ticket.ts";

/** Adds a request to the queue. */
export function enqueue(queue: Queue, ticket: Ticket): void {
  const band = queue.bands[rankOf(ticket.priority)]!;
  const cohort = ticket.priority % COHORTS;
  const lane = laneOf(queue, band, ticket.department);
  let bucket = lane.buckets.get(cohort);
  if (bucket === undefined) {
    bucket = new Set();
    lane.buckets.set(cohort, bucket);
    lane.words[cohort >> 5]! |= 1 << (cohort & 31);
  }
  bucket.add(ticket);
  queue.byId.set(ticket.id, ticket);
  queue.size += 1;
  resizeLane(band, lane, 1);
  countCohort(band, cohort, 1);
}

function laneOf(queue: Queue, band: Band, department: string): Lane {
  let lane = band.lanes.get(department);
  if (lane === undefined) {
    const weight = queue.weights.get(department) ?? 1;
    lane = {
      department,
      weight,
      credit: weight,
      size: 0,
      words: new Array<number>(COHORTS / 32).fill(0),
      buckets: new Map(),
    };
    band.lanes.set(department, lane);
  }
  return lane;
}
