/** Bootstrap rows per data centre. */
export const BOOTSTRAP_SEATS = 4;
