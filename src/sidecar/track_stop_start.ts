import type { Ticker } from "./ticker.ts";

const CHECK_INTERVAL_MS = 100;

/**
 * Returns a function that gives the steady time in ms at which a planned stop
 * began, to within a tick; null before it.
 */
export function trackStopStart(
  stopping: () => boolean,
  ticker: Ticker,
  steadyTime: () => number,
): () => number | null {
  let since: number | null = null;
  const update = () => {
    if (stopping()) since ??= steadyTime();
    return since;
  };
  ticker.every(CHECK_INTERVAL_MS, update);
  return update;
}
