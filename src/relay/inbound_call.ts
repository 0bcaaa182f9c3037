import type { Ticket } from "../admission/ticket.ts";
import type { Attempt } from "./attempt.ts";
import type { Exchange } from "./exchange.ts";
import type { DeadlineEntry } from "./deadline_entry.ts";
import type { Parent } from "./parent.ts";
import type { Recording } from "./recording.ts";
import type { Reply } from "./reply.ts";

/** An attempt at this daemon's own backend server. */
export type InboundCall = {
  attempt: Attempt;
  /** Null once the caller has gone. */
  reply: Reply | null;
  /** Nonce of its execution token, if any. */
  nonce: string | null;
  parent: Parent;
  ticket: Ticket;
  open: DeadlineEntry;
  phase: "waiting" | "running" | "ended";
  /** When the slot was taken, in ms. */
  startedAt: number;
  exchange: Exchange | null;
  /** Status that the backend server answered, once it did. */
  status: number | null;
  /** The response so far, for resends of the execution token. */
  recording: Recording | null;
};
