/** Maximum sizes of the parts of a message. */
export type MessageLimits = { headBytes: number; bodyBytes: number };
