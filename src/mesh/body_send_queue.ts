import type { Message } from "./message.ts";

/** Bodies that go out in pieces, taking turns. */
export type BodySendQueue = {
  /** `finish` makes the message that ends the body from its last piece. */
  add(stream: number, body: Buffer, finish: BodyMessageBuilder): void;
  /** Forgets a body; returns whether a part of it was still unsent. */
  cancel(stream: number): boolean;
  /** Returns the next message; null while none may be sent. */
  next(): Message | null;
  /** The other side has read this many bytes of pieces. */
  acknowledge(bytes: number): void;
  /** Bytes that are unsent. */
  size(): number;
  clear(): void;
};

/** Makes a message of a body, or of its last piece and its whole length. */
export type BodyMessageBuilder = (
  body: Buffer,
  ...total: [] | [number]
) => Message;
