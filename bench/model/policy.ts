import type { Random } from "../../src/core/random.ts";

/** One whole request in the model. */
type Request = { priority: number; deadlineAt: number };

/** How a hop treats a call. */
export type Policy = {
  /** Priority of a call at a hop. */
  priority: (request: Request, random: Random) => number;
  /** Whether callers shed by the level of the next hop. */
  atSource: boolean;
  /** Calls a server without admission control: everything is queued. */
  unlimited: boolean;
  /** Attempts at each hop. */
  attempts: number;
  /** After how long a hop tries again, in ms. */
  attemptMs: number;
};
