import type { Ticket } from "../admission/ticket.ts";
import type { Attempt } from "./attempt.ts";
import type { Exchange } from "./exchange.ts";
import type { DeadlineEntry } from "./deadline_entry.ts";
import type { Parent } from "./parent.ts";
import type { Recording } from "./recording.ts";
import type { Reply } from "./reply.ts";

/** An attempt at the local backend server of this daemon. */
export type InboundCall = {
  attempt: Attempt;
  /** Null once the caller has disconnected or its deadline has passed. */
  reply: Reply | null;
  /** Nonce of its execution token, if any. */
  nonce: string | null;
  parent: Parent;
  ticket: Ticket;
  /** Its entry in `Relay.open`. */
  open: DeadlineEntry;
  phase: "waiting" | "running" | "ended";
  /** When the slot was taken, in ms. */
  startedAt: number;
  exchange: Exchange | null;
  /** Status of the backend server's response; null until it arrives. */
  status: number | null;
  /** The response so far, kept for resends under the execution token. */
  recording: Recording | null;
};
