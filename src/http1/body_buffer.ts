/** Collects a body from its parts. */
export type BodyBuffer = {
  /** Bytes collected so far. */
  bytes(): number;
  /** Copies the bytes of `source` from `start` up to `end`. */
  add(source: Buffer, start: number, end: number): void;
  /** Returns the whole body and starts anew. */
  take(): Buffer;
  clear(): void;
};
