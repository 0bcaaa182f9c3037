import type { Outcome } from "../outcomes/outcome.ts";
import type { CachedResponse } from "./cached_response.ts";

/** What became of an execution token that was presented to this daemon. */
export type Execution =
  | { state: "queued"; expiresAt: number; waiters: Waiter[] }
  | { state: "running"; expiresAt: number; waiters: Waiter[] }
  | { state: "finished"; expiresAt: number; response: CachedResponse }
  | { state: "ended"; expiresAt: number; outcome: Outcome };

/** Called once with the result of a run that a resend has joined. */
type Waiter = (result: CachedResponse | Outcome) => void;
