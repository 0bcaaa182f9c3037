/**
 * Largest control message, in bytes. The largest message of a membership
 * exchange holds 64 KiB of entries, one bucket and 256 corrections.
 */
export const MAX_CONTROL_BYTES = 262_144;
