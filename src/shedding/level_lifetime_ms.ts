/** Age from which a reported level no longer applies. */
export const LEVEL_LIFETIME_MS = 1000;
