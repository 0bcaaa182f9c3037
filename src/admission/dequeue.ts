import type { Band } from "./band.ts";
import { highest } from "./highest.ts";
import type { Lane } from "./lane.ts";
import type { Queue } from "./queue.ts";
import { remove } from "./remove.ts";
import type { Ticket } from "./ticket.ts";

/**
 * Removes and returns the next request: of the highest class, of the
 * department whose turn it is (deficit round robin), of the highest cohort.
 */
export function dequeue(queue: Queue): Ticket | undefined {
  for (let rank = queue.bands.length - 1; rank >= 0; rank--) {
    const band = queue.bands[rank]!;
    if (band.size === 0) continue;
    const lane: Lane = band.lanes.values().next().value!;
    const ticket = highest(lane);
    remove(queue, ticket);
    takeTurn(band, lane);
    return ticket;
  }
  return undefined;
}

function takeTurn(band: Band, lane: Lane): void {
  lane.credit -= 1;
  if (lane.credit >= 1 || lane.size === 0) return;
  lane.credit += lane.weight;
  band.lanes.delete(lane.department);
  band.lanes.set(lane.department, lane);
}
