/** Shares travel in hundredths, which take a byte each. */
export const FRACTION_SCALE = 100;
