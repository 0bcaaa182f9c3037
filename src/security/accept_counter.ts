import type { ReplayWindow } from "./replay_window.ts";

/** Maximum number of messages of one sender that may arrive out of order. */
const REORDER_WINDOW = 16;

/**
 * Records a message whose MAC was verified in the current epoch. Returns
 * `replayed` for one that was received before or is older than the window, and
 * `expired` if the window has no room for another sender: the epoch is then
 * changed, and the sender has to sign the message again.
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
