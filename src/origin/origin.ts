import type { OpenWork } from "./open_work.ts";
import type { OriginRequest } from "./origin_request.ts";
import type { Reply } from "./reply.ts";

/** Where requests begin: finds the route, admits, and sends to a server. */
export type Origin = {
  /**
   * Starts a request; the reply comes once, possibly before this returns. The
   * returned function tells that the client has left, after which no reply
   * comes.
   */
  start(request: OriginRequest, onReply: (reply: Reply) => void): () => void;
  /** Gives up requests whose time is over, and updates the admission. */
  tick(): void;
  /**
   * Runs must end by `runsEndAt`: servers are told so, and requests of clients
   * that may take longer are refused. From `refuseAt` on, all of clients are;
   * calls of the own server go on. Steady times in ms.
   */
  limit(plan: { refuseAt: number; runsEndAt: number }): void;
  /** Ends all requests without a reply, before the process does. */
  failOpenRequests(): void;
  /** Requests without a reply. */
  open(): OpenWork;
};
