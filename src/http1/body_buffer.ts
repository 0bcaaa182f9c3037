/** Collects a body from its parts. */
export type BodyBuffer = {
  /** Number of bytes collected so far. */
  bytes(): number;
  /** Copies the bytes of `source` from `start` up to `end`. */
  add(source: Buffer, start: number, end: number): void;
  /** Returns the complete body and clears the buffer. */
  take(): Buffer;
  clear(): void;
};
