/** Bodies that come in pieces and aren't whole yet. */
export type BodyAssembler = {
  /** Takes a piece; false where it can't belong to a body. */
  add(stream: number, total: number, piece: Uint8Array): boolean;
  /** Joins a body with its last piece; null where the rest isn't there. */
  finish(stream: number, last: Uint8Array, total: number): Buffer | null;
  /** Forgets what has come of a body. */
  drop(stream: number): void;
  /** Bytes that have come of unfinished bodies. */
  size(): number;
  clear(): void;
};
