import type { Importance } from "./importance.ts";

/** Data that is passed on with a request from hop to hop. */
export type Context = {
  /** Root request id, the same at every hop. */
  requestId: string;
  /** Id of this attempt, echoed in the response. */
  attemptId: string;
  /** When the caller stops waiting, in ms of the local monotonic clock. */
  deadlineAt: number;
  importance: Importance;
  department: string;
  /** Retries allocated to this attempt, see `src/retries`. */
  retries: number;
  /** Execution token of a request that must not run twice. */
  token: string | null;
};
