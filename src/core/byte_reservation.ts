/** The bytes of a budget that a single owner has reserved. */
export type ByteReservation = {
  /**
   * Sets the reservation to `bytes`; if they don't fit, returns false and
   * changes nothing.
   */
  resize(bytes: number): boolean;
};
