/** FIFO queue of bytes to be written. */
export type ByteQueue = {
  push(bytes: Buffer): void;
  /** Removes and returns up to `maxBytes` bytes from the front. */
  take(maxBytes: number): Buffer;
  /** Number of queued bytes. */
  size(): number;
  clear(): void;
};
