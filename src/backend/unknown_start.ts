/**
 * Start time of a server that has not reported one; before any reported one.
 */
export const UNKNOWN_START = 0;
