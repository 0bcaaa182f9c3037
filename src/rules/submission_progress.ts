import type { Rules } from "./rules.ts";

/** What a submission has learned over its attempts. */
export type SubmissionProgress = {
  /** The state that the store had at the last read. */
  rules: Rules;
  /** Whether a write was sent. */
  writeSent: boolean;
  /**
   * Heads that unanswered writes depend on. Such a write can only take effect
   * while the store still has this head.
   */
  unconfirmedHeads: Set<string>;
  /** Why the last attempt did not finish. */
  message: string;
};
