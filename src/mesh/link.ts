import type { Message } from "./message.ts";

/** One connection between two daemons. */
export type Link = {
  /** Queues a message; the messages of one turn of the loop go out together. */
  send(message: Message): void;
  /** Takes the next bytes of the connection. */
  receive(chunk: Buffer): void;
  close(reason: string): void;
  /** Lets the other side send large messages: it has introduced itself. */
  trust(): void;
  /** Steady time at which the last bytes came in, in ms. */
  receivedAt: number;
};
