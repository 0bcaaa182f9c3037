import type { ReplayWindow } from "./replay_window.ts";

/**
 * Room for the processes of 14,000 daemons and those that 808 restarts a day add
 * in three weeks. A full window takes about 10 MB.
 */
const MAX_SENDERS = 32_768;

/**
 * Creates the replay window of a process that has just started. Clocks are not
 * trusted, so messages do not expire by time. Each message contains the epoch
 * of its recipient, (random instance, generation), and a counter of its sending
 * process. Within an epoch the window keeps state for every sending process.
 * When there are too many of them, the epoch changes, which invalidates all
 * recorded messages, and the state is cleared. A restart changes the epoch as
 * well.
 */
export function createReplayWindow(
  instance: string,
  { maxSenders } = { maxSenders: MAX_SENDERS },
): ReplayWindow {
  return { instance, generation: 0, senders: new Map(), maxSenders };
}
