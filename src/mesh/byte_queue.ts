/** Bytes that wait to be written, in order. */
export type ByteQueue = {
  push(bytes: Buffer): void;
  /** Removes and returns the first bytes, at most this many. */
  take(maxBytes: number): Buffer;
  /** How many bytes wait. */
  size(): number;
  clear(): void;
};
