import { adaptLevel } from "./adapt_level.ts";
import { adaptLimit } from "./adapt_limit.ts";
import type { Admission } from "./admission.ts";
import { fillSlots } from "./fill_slots.ts";
import { remove } from "./remove.ts";
import type { Ticket } from "./ticket.ts";

/**
 * Periodic work, every 50 ms: removes expired requests and adapts the limit and
 * the level. Returns the requests to start, whose slots are already counted as
 * in flight, and the requests to drop, expired or evicted.
 */
export function tick(
  admission: Admission,
  now: number,
): { start: Ticket[]; drop: Ticket[] } {
  const { queue } = admission;
  const expired: Ticket[] = [];
  for (const classQueue of queue.classQueues) {
    for (const flow of classQueue.departmentQueues.values()) {
      for (const bucket of flow.buckets.values()) {
        for (const ticket of bucket) {
          if (now >= ticket.deadlineAt) expired.push(ticket);
        }
      }
    }
  }
  for (const ticket of expired) remove(queue, ticket);
  adaptLimit(admission, now);
  adaptLevel(admission, now);
  const { start, drop } = fillSlots(admission, now);
  return { start, drop: [...expired, ...drop] };
}
