import type { Rules } from "./rules.ts";

/** State that a submission carries from one attempt to the next. */
export type SubmissionProgress = {
  /** The state of the store at the last read. */
  rules: Rules;
  /** Whether the response to any write of this submission was lost. */
  responseLost: boolean;
  /**
   * Heads that writes without a response depend on. Such a write can only take
   * effect while the store still has this head.
   */
  unconfirmedHeads: Set<string>;
  /** Why the last attempt failed. */
  message: string;
};
