/**
 * Largest response to a control message, in bytes. A snapshot of the rules at
 * the planned size has 740 KB; under the limit for requests it was dropped, and
 * a new daemon got no rules from its peers.
 */
export const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
