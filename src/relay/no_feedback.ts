import type { Feedback } from "./feedback.ts";

/** Feedback of an attempt that ended without a response. */
export const noFeedback: Feedback = {
  unspent: 0,
  level: null,
  load: null,
  tokens: [],
  downstreamOverload: false,
};
