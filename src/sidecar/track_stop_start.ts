import type { Ticker } from "./ticker.ts";

const CHECK_MS = 100;

/** Notes when a planned stop began, to within a tick; null before it. */
export function trackStopStart(
  stopping: () => boolean,
  ticker: Ticker,
  steadyTime: () => number,
): () => number | null {
  let since: number | null = null;
  const note = () => {
    if (stopping()) since ??= steadyTime();
    return since;
  };
  ticker.every(CHECK_MS, note);
  return note;
}
