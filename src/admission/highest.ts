import type { Lane } from "./lane.ts";
import type { Ticket } from "./ticket.ts";

/** Returns the request of the highest cohort in a lane that is not empty. */
export function highest(lane: Lane): Ticket {
  let index = lane.words.length - 1;
  while (lane.words[index] === 0) index -= 1;
  const cohort = index * 32 + 31 - Math.clz32(lane.words[index]!);
  return lane.buckets.get(cohort)!.values().next().value!;
}
