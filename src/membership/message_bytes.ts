/**
 * Bounds of the reports in one message, in bytes. News is kept small, since a
 * burst of it is spread over rounds; repair needs 20 messages for 14,000
 * entries, so a new daemon knows all within about 20 rounds.
 */
export const MESSAGE_BYTES = { updates: 16_384, repair: 65_536 } as const;
