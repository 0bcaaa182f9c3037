import type { Route } from "../routes/route.ts";
import type { Candidate } from "./candidate.ts";
import type { OriginRequest } from "./origin_request.ts";
import type { Reply } from "./reply.ts";

/** A request that has no reply yet. */
export type OpenCall = {
  request: OriginRequest;
  route: Route;
  service: string;
  /** Whether a client sent it rather than a server; undefined if unknown. */
  root: boolean | undefined;
  /** Steady times in ms: its start, when it is given up, when the client is. */
  startedAt: number;
  expiresAt: number;
  clientDeadlineAt: number;
  /** Servers that it was sent to and that may have run it. */
  attempts: number;
  /** Share of such requests that repeat earlier ones, as their callers do. */
  inheritedShare: number;
  /** Whether a server may have got it. */
  arrived: boolean;
  /** Addresses of the daemons that turned it away. */
  refusedBy: Set<string>;
  /** How often it was turned away for want of room. */
  refusals: number;
  /** Why it was last turned away, and when room is expected, in ms. */
  refusal: { reason: string; waitMs: number } | null;
  target: Candidate | null;
  /** A server's failure, kept while another server is tried. */
  fallbackAnswer: Extract<Reply, { kind: "answer" }> | null;
  cancel: () => void;
  onReply: (reply: Reply) => void;
};
