/** Reads messages from the bytes of one connection. */
export type MessageReader = {
  /** Takes the next bytes; whole messages and faults go to the handlers. */
  push(chunk: Buffer): void;
  /**
   * Tells that the peer has ended its side in an orderly way, which completes
   * a body that has no length.
   */
  end(): void;
  /** Reads nothing more and gives up what was read of an unfinished message. */
  close(): void;
  /** Which part of a message has been read only in part. */
  partial(): "none" | "head" | "body";
};
