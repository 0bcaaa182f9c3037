import type { Route } from "../routes/route.ts";
import type { Candidate } from "./candidate.ts";
import type { OriginRequest } from "./origin_request.ts";
import type { Reply } from "./reply.ts";

/** A request without a reply yet. */
export type OpenCall = {
  request: OriginRequest;
  route: Route;
  service: string;
  /** Whether a client sent it, not a backend server; undefined if unknown. */
  root: boolean | undefined;
  /** Steady time in ms. */
  startedAt: number;
  /** Steady time at which the request is given up, in ms. */
  expiresAt: number;
  /** Steady time until which the client waits, in ms. */
  clientDeadlineAt: number;
  /** Number of servers that it was sent to and that may have run it. */
  attempts: number;
  /** Share of such requests that are repeats because their callers are. */
  inheritedShare: number;
  /** Whether a server may have received it. */
  arrived: boolean;
  /** Addresses of the daemons that won't be tried again. */
  refusedBy: Set<string>;
  /** How often it was refused for lack of capacity. */
  refusals: number;
  /** Reason of the last refusal, and time until capacity is expected, in ms. */
  refusal: { reason: string; waitMs: number } | null;
  target: Candidate | null;
  /** Error answer of a server, sent if no other server does better. */
  fallbackAnswer: Extract<Reply, { kind: "answer" }> | null;
  cancel: () => void;
  onReply: (reply: Reply) => void;
};
