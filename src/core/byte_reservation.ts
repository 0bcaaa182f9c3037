/** The bytes of a budget that one owner holds. */
export type ByteReservation = {
  /** Holds `bytes` in all; false where they don't fit changes nothing. */
  resize(bytes: number): boolean;
};
