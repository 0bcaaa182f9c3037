import type { Policy } from "./policy.ts";

const PRIORITIES = 384;

/** The policies that are compared. */
export const POLICIES: Record<string, Policy> = {
  priority: {
    priority: (request) => request.priority,
    atSource: true,
    unlimited: false,
    attempts: 1,
    attemptMs: Infinity,
  },
  // The same controller with priorities drawn at each call sheds at random.
  random: {
    priority: (_request, random) => Math.floor(random() * PRIORITIES),
    atSource: false,
    unlimited: false,
    attempts: 1,
    attemptMs: Infinity,
  },
  retries: {
    priority: (request) => request.priority,
    atSource: false,
    unlimited: true,
    attempts: 4,
    attemptMs: 300,
  },
};
