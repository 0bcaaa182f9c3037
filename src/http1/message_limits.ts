/** Bounds on one message. */
export type MessageLimits = { headBytes: number; bodyBytes: number };
