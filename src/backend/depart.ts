import type { Departure } from "./departure.ts";
import type { Registration } from "./registration.ts";

/** Applies a departure; one of another server or an earlier start is ignored. */
export function depart(
  current: Registration | null,
  { id, startedAt }: Departure,
): Registration | null {
  if (current === null || current.id !== id) return current;
  if (startedAt !== null && startedAt < current.startedAt) return current;
  return { ...current, leaving: true, departed: true };
}
