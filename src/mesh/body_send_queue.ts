import type { Message } from "./message.ts";

/** Large bodies sent in pieces, interleaved round-robin. */
export type BodySendQueue = {
  /** `finish` builds the message that carries the last piece. */
  add(stream: number, body: Buffer, finish: BodyMessageBuilder): void;
  /** Removes a body; returns whether part of it was still unsent. */
  cancel(stream: number): boolean;
  /** Returns the next message; null if empty or the send window is full. */
  next(): Message | null;
  /** Frees window space for bytes of pieces that the peer has read. */
  acknowledge(bytes: number): void;
  /** Number of unsent bytes. */
  size(): number;
  clear(): void;
};

/**
 * Builds the message for a whole body, or for the last piece of a body and its
 * total length.
 */
export type BodyMessageBuilder = (
  body: Buffer,
  ...total: [] | [number]
) => Message;
