import type { ReplayWindow } from "./replay_window.ts";

/** Messages of one sender that may overtake each other. */
const REORDER_WINDOW = 16;

/**
 * Notes a message whose MAC has been verified in the present epoch. Returns
 * `replayed` for one seen before or too old to tell, and `expired` when the
 * memory was full: the epoch has then changed and the sender has to sign anew.
 */
export function acceptCounter(
  window: ReplayWindow,
  { sender, instance, counter }: {
    sender: string;
    instance: string;
    counter: number;
  },
): "accepted" | "replayed" | "expired" {
  const key = `${sender} ${instance}`;
  let seen = window.senders.get(key);
  if (seen === undefined) {
    if (window.senders.size >= window.maxSenders) {
      window.senders.clear();
      window.generation++;
      return "expired";
    }
    seen = { recent: [], floor: -1 };
    window.senders.set(key, seen);
  }
  if (counter <= seen.floor || seen.recent.includes(counter)) return "replayed";
  seen.recent.push(counter);
  if (seen.recent.length > REORDER_WINDOW) {
    seen.recent.sort((one, two) => one - two);
    seen.floor = seen.recent.shift()!;
  }
  return "accepted";
}
