import { COHORTS } from "../context/cohorts.ts";
import type { Admission } from "./admission.ts";
import { recordArrival } from "./record_arrival.ts";
import { enqueue } from "./enqueue.ts";
import { levelFor } from "./level_for.ts";
import { queuePosition } from "./queue_position.ts";
import { rankOf } from "./rank_of.ts";
import { remove } from "./remove.ts";
import type { Ticket } from "./ticket.ts";
import { evictionCandidate } from "./eviction_candidate.ts";

/** Result of offering a request to admission control. */
type Decision =
  | { kind: "run" }
  | { kind: "queued" }
  | { kind: "rejected"; reason: "overload" | "deadline" };

/**
 * Leaves room for bursts of a few service times; the admission level keeps the
 * standing queue below one service time. A shorter queue lowers goodput under
 * overload, a longer one does not raise it.
 */
const QUEUE_PER_SLOT = 4;
const RUN: Decision = { kind: "run" };
const QUEUED: Decision = { kind: "queued" };
const OVERLOAD: Decision = { kind: "rejected", reason: "overload" };
const DEADLINE: Decision = { kind: "rejected", reason: "deadline" };

/**
 * Admits, queues or rejects a request. The caller has to start an admitted
 * request.
 */
export function offer(
  admission: Admission,
  ticket: Ticket,
  now: number,
): Decision {
  if (now >= ticket.deadlineAt) return DEADLINE;
  recordArrival(admission, ticket);
  if (ticket.priority < levelFor(admission, ticket.department)) return OVERLOAD;
  const { queue, limiter } = admission;
  if (queue.size === 0 && admission.inFlight < admission.limit) {
    admission.inFlight += 1;
    limiter.peakInFlight = Math.max(limiter.peakInFlight, admission.inFlight);
    return RUN;
  }
  const waitMs = (queuePosition(queue, ticket) + 1) * limiter.serviceMs /
    admission.limit;
  if (now + waitMs > ticket.deadlineAt) return DEADLINE;
  if (
    queue.size >= Math.min(admission.maxQueue, admission.slots * QUEUE_PER_SLOT)
  ) {
    const evicted = evictionCandidate(queue, ticket);
    recordOverflow(admission, evicted ?? ticket);
    if (evicted === undefined) return OVERLOAD;
    remove(queue, evicted);
    admission.evicted.push(evicted);
  }
  enqueue(queue, ticket);
  return QUEUED;
}

/**
 * Raises the level at once instead of at the next tick: after a rejection no
 * request of a lower class may take a slot that becomes free.
 */
function recordOverflow(admission: Admission, rejected: Ticket): void {
  admission.demand.overflow += 1;
  const classStart = rankOf(rejected.priority) * COHORTS;
  admission.level = Math.max(admission.level, classStart);
}
