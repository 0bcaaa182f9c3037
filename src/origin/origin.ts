import type { OpenWork } from "./open_work.ts";
import type { OriginRequest } from "./origin_request.ts";
import type { Reply } from "./reply.ts";

/** Entry point of requests on a VM: finds the route, admits, picks a server. */
export type Origin = {
  /**
   * Starts a request; `onReply` is called once, possibly before this returns.
   * The returned function cancels the request because its client has left, and
   * no reply is reported after it.
   */
  start(request: OriginRequest, onReply: (reply: Reply) => void): () => void;
  /** Ends expired requests and updates the admission; called periodically. */
  tick(): void;
  /**
   * Restricts requests before a stop. Runs must end by `runsEndAt`: it bounds
   * the deadlines sent to servers, and client requests that may take longer are
   * refused. From `refuseAt` on, all client requests are refused, but calls of
   * the local backend server are still accepted. Steady times in ms.
   */
  limit(plan: { refuseAt: number; runsEndAt: number }): void;
  /** Replies to all open requests with a failure, before the process exits. */
  failOpenRequests(): void;
  /** Returns a summary of the requests without a reply. */
  open(): OpenWork;
};
