import type { Outcome } from "../outcomes/outcome.ts";
import type { CachedResponse } from "./cached_response.ts";
import type { Waiter } from "./waiter.ts";

/** State of an execution token that was presented to this daemon. */
export type Execution =
  | { state: "queued"; expiresAt: number; waiters: Set<Waiter> }
  | {
    state: "running";
    expiresAt: number;
    waiters: Set<Waiter>;
    /** Token of each nested non-repeatable call, by step name. */
    steps: Map<string, string>;
  }
  /** Ended with a response, which is kept for resends. */
  | { state: "finished"; expiresAt: number; response: CachedResponse }
  /** Ended without a response that could be kept. */
  | { state: "ended"; expiresAt: number; outcome: Outcome };
