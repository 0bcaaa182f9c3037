/** Parses the bytes of one connection into messages. */
export type MessageReader = {
  /**
   * Parses the next bytes; complete messages and faults go to the callbacks.
   */
  push(chunk: Buffer): void;
  /**
   * Reports that the peer closed its side in an orderly way, which completes a
   * body without a length.
   */
  end(): void;
  /** Stops reading and discards what was read of an unfinished message. */
  close(): void;
  /** Which part of a message has been received incompletely. */
  partial(): "none" | "head" | "body";
};
