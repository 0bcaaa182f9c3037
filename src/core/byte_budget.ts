/** An account of bytes that several owners hold in memory at one time. */
export type ByteBudget = {
  /** Takes bytes where there is room for all of them; false takes nothing. */
  reserve(bytes: number): boolean;
  /** Gives back bytes that were taken. */
  release(bytes: number): void;
  /** Bytes that are taken now. */
  reserved(): number;
  /** Bytes that can be held at one time. */
  readonly limit: number;
};
