/** Age at which a reported level says nothing any more. */
export const LEVEL_LIFETIME_MS = 1000;
