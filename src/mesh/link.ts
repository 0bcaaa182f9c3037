import type { BodyMessageBuilder } from "./body_send_queue.ts";
import type { Message } from "./message.ts";

/** One connection between two daemons. */
export type Link = {
  /** Queues a message; the messages of one turn of the loop go out together. */
  send(message: Message): void;
  /**
   * Sends a body of a stream, in pieces where it is large. `toMessage` makes
   * the message that carries it or ends it. Returns false where there is no
   * room for the body, of which nothing is sent then.
   */
  sendBody(
    stream: number,
    body: Buffer,
    toMessage: BodyMessageBuilder,
  ): boolean;
  /** Sends nothing more of a body; returns whether a part was unsent. */
  cancelBody(stream: number): boolean;
  /**
   * Joins the body that a message carries or ends; null where pieces of it are
   * missing.
   */
  takeBody(stream: number, last: Uint8Array, total?: number): Buffer | null;
  /** Forgets the pieces that have come of a body. */
  dropBody(stream: number): void;
  /** Whether nothing waits to be sent. */
  idle(): boolean;
  /** Takes the next bytes of the connection. */
  receive(chunk: Buffer): void;
  close(reason: string): void;
  /** Closes it since the other side doesn't keep to the protocol. */
  reject(reason: string): void;
  /** Lets the other side, which has introduced itself, send large messages. */
  completeHandshake(entry: { takesPieces: boolean }): void;
  /**
   * Steady time at which the other side last showed life, in ms: bytes came
   * in, or it took bytes that had waited for it.
   */
  lastActivityAt: number;
  /**
   * Returns the steady time since which it has taken none of the bytes that
   * wait for it, in ms; null while none wait.
   */
  blockedSince(): number | null;
  /** Counts the time that the other side has to take bytes from now on. */
  restartBlockedTimers(): void;
};
