/** Fractions are sent as integers from 0 to 100, which encode in one byte. */
export const FRACTION_SCALE = 100;
