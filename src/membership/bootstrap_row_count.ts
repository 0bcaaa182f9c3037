/** Bootstrap rows per data centre. */
export const BOOTSTRAP_ROW_COUNT = 4;
