import type { Importance } from "./importance.ts";

/** What travels with a request from hop to hop. */
export type Context = {
  /** Root request id, the same at every hop. */
  requestId: string;
  /** Id of this attempt, echoed in the response. */
  attemptId: string;
  /** When the caller stops waiting, on the local monotonic clock, in ms. */
  deadlineAt: number;
  importance: Importance;
  department: string;
  /** Retries lent to this attempt. */
  retries: number;
  /** Execution token, for requests that must not run twice. */
  token: string | null;
};
