import type { Message } from "./message.ts";

/** One connection between two daemons. */
export type Link = {
  /** Queues a message; the messages of one turn of the loop go out together. */
  send(message: Message): void;
  /** Whether the unsent bytes leave room for another body. */
  hasRoom(): boolean;
  /** Takes the next bytes of the connection. */
  receive(chunk: Buffer): void;
  close(reason: string): void;
  /** Lets the other side send large messages: it has introduced itself. */
  trust(): void;
  /**
   * Steady time at which the other side last showed life, in ms: bytes came
   * in, or it took bytes that had waited for it.
   */
  aliveAt: number;
  /**
   * Steady time since which it has taken none of the bytes that wait for it,
   * in ms; null while none wait.
   */
  blockedSince: number | null;
};
