import type { Lane } from "./lane.ts";
import type { Ticket } from "./ticket.ts";

/** Returns the request of the lowest cohort in a lane that is not empty. */
export function lowest(lane: Lane): Ticket {
  let index = 0;
  while (lane.words[index] === 0) index += 1;
  const word = lane.words[index]!;
  const cohort = index * 32 + 31 - Math.clz32(word & -word);
  return lane.buckets.get(cohort)!.values().next().value!;
}
