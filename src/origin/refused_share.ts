import type { Admission } from "./admission.ts";

// Each route keeps this share: it shows when room is back, and no kind of
// request is left without service.
const LEAST_ADMITTED = 0.05;

/** Returns the share of a root route's requests that is to be refused now. */
export function refusedShare(
  { services }: Admission,
  route: string,
): { share: number; service: string | null } {
  let share = 0;
  let binding: string | null = null;
  for (const [service, { level, order }] of services) {
    if (level === 0) continue;
    const position = order.indexOf(route);
    if (position < 0) continue;
    const here = Math.min(1 - LEAST_ADMITTED, level - position);
    if (here <= share) continue;
    share = here;
    binding = service;
  }
  return { share, service: binding };
}
