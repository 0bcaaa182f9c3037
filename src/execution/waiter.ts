import type { Outcome } from "../outcomes/outcome.ts";
import type { CachedResponse } from "./cached_response.ts";

/** Called once with the result of an execution that a resend has joined. */
export type Waiter = (result: CachedResponse | Outcome) => void;
