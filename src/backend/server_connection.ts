import type { CallOutcome } from "../calls/call_outcome.ts";
import type { CallRequest } from "../calls/call_request.ts";

/** A connection to the backend server; it carries one request at a time. */
export type ServerConnection = {
  send(
    request: CallRequest,
    now: number,
    onOutcome: (outcome: CallOutcome) => void,
  ): void;
  close(): void;
  /**
   * Whether it may carry a request of this id. It may not if an earlier attempt
   * failed on it: the server may repeat the response to that.
   */
  mayCarry(id: string): boolean;
  /** Monotonic time at which the connection last became idle, in ms. */
  idleSince: number;
  /** How long the server keeps an idle connection open, in ms. */
  keepAliveMs: number;
};
