/** Start of a server that hasn't told it yet: before any that can be told. */
export const UNKNOWN_START = 0;
