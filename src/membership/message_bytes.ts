/**
 * Maximum size of the reports in one message, in bytes. The limit of updates is
 * small, since a burst of them is spread over rounds. Repair takes 20 messages
 * for 14,000 entries, so a new daemon knows all of them after about 20 rounds.
 */
export const MESSAGE_BYTES = { updates: 16_384, repair: 65_536 } as const;
