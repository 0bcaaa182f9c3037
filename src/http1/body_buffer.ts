/** Collects a body from its parts. */
export type BodyBuffer = {
  /** Bytes collected so far. */
  bytes(): number;
  add(part: Buffer): void;
  /** Returns the whole body and starts anew. */
  take(): Buffer;
  clear(): void;
};
