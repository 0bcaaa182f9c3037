import type { BodyMessageBuilder } from "./body_send_queue.ts";
import type { Message } from "./message.ts";

/** A connection between two daemons, framed into messages. */
export type Link = {
  /** Queues a message; messages of one event loop turn share a write. */
  send(message: Message): void;
  /**
   * Queues the body of a stream, in pieces if it is large and the peer supports
   * them. `buildMessage` builds the message with the whole body or its last
   * piece. Returns false, and sends nothing, if the body exceeds the limit of
   * this link or the memory budget.
   */
  sendBody(
    stream: number,
    body: Buffer,
    buildMessage: BodyMessageBuilder,
  ): boolean;
  /** Stops sending a body; returns whether part of it was unsent. */
  cancelBody(stream: number): boolean;
  /**
   * Returns the body of a message. With `total`, `last` is its last piece; null
   * if earlier pieces are missing.
   */
  takeBody(stream: number, last: Uint8Array, total?: number): Buffer | null;
  /** Discards the pieces received of a body. */
  dropBody(stream: number): void;
  /** Whether all queued data has been sent. */
  idle(): boolean;
  /** Processes received bytes. */
  receive(chunk: Buffer): void;
  close(reason: string): void;
  /** Closes the link because the peer violated the protocol. */
  reject(reason: string): void;
  /**
   * Raises the frame size limit after the peer has sent its entry, and enables
   * pieces if the peer supports them.
   */
  completeHandshake(entry: { takesPieces: boolean }): void;
  /**
   * Monotonic time of the peer's last activity, in ms: bytes were received, or
   * a blocked write completed.
   */
  lastActivityAt: number;
  /**
   * Returns the monotonic time since which sending has made no progress, in
   * ms; null while it isn't blocked.
   */
  blockedSince(): number | null;
  /** Restarts the time-outs of blocked sends after this process was paused. */
  restartBlockedTimers(): void;
};
