import type { Calendar } from "./calendar.ts";

/** Plans an event after a delay in ms, rounded up to at least one step. */
export function schedule(
  calendar: Calendar,
  delayMs: number,
  event: () => void,
): void {
  const at = calendar.now + Math.max(1, Math.round(delayMs));
  const events = calendar.due.get(at);
  if (events === undefined) calendar.due.set(at, [event]);
  else events.push(event);
}
