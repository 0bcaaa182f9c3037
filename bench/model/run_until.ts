import type { Calendar } from "./calendar.ts";

/** Runs the events of each step up to a time, and a step handler before them. */
export function runUntil(
  calendar: Calendar,
  until: number,
  step: (now: number) => void,
): void {
  while (calendar.now < until) {
    calendar.now += 1;
    step(calendar.now);
    const events = calendar.due.get(calendar.now) ?? [];
    calendar.due.delete(calendar.now);
    for (const event of events) event();
  }
}
