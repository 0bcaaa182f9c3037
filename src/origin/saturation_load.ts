/** Load below which a service takes all that comes. */
export const SATURATION_LOAD = 0.9;
