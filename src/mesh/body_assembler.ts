/** Reassembles bodies that arrive in pieces. */
export type BodyAssembler = {
  /** Adds a piece; returns false if it is invalid or exceeds a limit. */
  add(stream: number, total: number, piece: Uint8Array): boolean;
  /** Completes a body with its last piece; null if earlier ones are missing. */
  finish(stream: number, last: Uint8Array, total: number): Buffer | null;
  /** Discards the pieces received of a body. */
  drop(stream: number): void;
  /** Bytes received of incomplete bodies. */
  size(): number;
  clear(): void;
};
