/** Limit on the bytes that several owners may hold in memory together. */
export type ByteBudget = {
  /**
   * Reserves bytes if all of them fit; otherwise returns false and reserves
   * none.
   */
  reserve(bytes: number): boolean;
  /** Releases reserved bytes. */
  release(bytes: number): void;
  /** Bytes currently reserved. */
  reserved(): number;
  /** Maximum number of bytes that can be reserved. */
  readonly limit: number;
};
