import type { Message } from "../http1/message.ts";
import type { OriginRequest } from "../origin/origin_request.ts";
import type { Reply } from "../origin/reply.ts";
import type { ConnectionFault } from "./connection_fault.ts";

/** How requests of clients and the replies to them are spelled. */
export type ClientProtocol = {
  /** Returns null where the message isn't a proper request. */
  readRequest(message: Message): OriginRequest | null;
  /** Writes the head of a reply and returns it with the body. */
  formatReply(
    reply: Reply,
    request: OriginRequest,
    close: boolean,
  ): { head: string; body: Buffer };
  /** Writes the whole answer to bytes that aren't a proper request. */
  formatFault(fault: ConnectionFault): string;
};
