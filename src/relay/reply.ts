import type { Outcome } from "../outcomes/outcome.ts";
import type { Feedback } from "./feedback.ts";

/** Receives the result of an attempt: `start`, `data`…, `end`, or `fail`. */
export type Reply = {
  /** The backend server answered; its status and end-to-end headers. */
  start(head: {
    status: number;
    headers: Record<string, string | string[]>;
    feedback: Feedback;
  }): void;
  /** Returns false where the sender has to pause until `Exchange.resume`. */
  data(chunk: Buffer): boolean;
  /** The response is complete. */
  end(): void;
  /** No complete response will come; also after `start`. */
  fail(outcome: Outcome, feedback: Feedback): void;
};
