import type { Message } from "../http1/message.ts";
import type { OriginRequest } from "../origin/origin_request.ts";
import type { Reply } from "../origin/reply.ts";
import type { ConnectionFault } from "./connection_fault.ts";

/** Parses the requests of clients and formats the replies to them. */
export type ClientProtocol = {
  /** Returns null if the message isn't a valid request. */
  readRequest(message: Message): OriginRequest | null;
  /** Formats the head of a reply and returns it with the body. */
  formatReply(
    reply: Reply,
    request: OriginRequest,
    close: boolean,
  ): { head: string; body: Buffer };
  /** Formats the complete reply that precedes the close after a fault. */
  formatFault(fault: ConnectionFault): string;
};
