import type { ReplayWindow } from "./replay_window.ts";

/** Above 14,000 daemons plus three weeks of 808 restarts a day; about 10 MB. */
const MAX_SENDERS = 32_768;

/**
 * Creates the replay window of a process that has just started. Clocks are not
 * trusted, so messages do not expire by time. Each names the recipient's
 * epoch, (random instance, generation), and a counter of its sending process.
 * Within an epoch the window remembers every sending process; when there are
 * too many of them, the epoch changes, which voids all recorded messages, and
 * the memory is cleared. A restart changes the epoch as well.
 */
export function createReplayWindow(
  instance: string,
  { maxSenders } = { maxSenders: MAX_SENDERS },
): ReplayWindow {
  return { instance, generation: 0, senders: new Map(), maxSenders };
}
