import type { Outcome } from "../outcomes/outcome.ts";
import type { Call } from "./call.ts";
import type { Exchange } from "./exchange.ts";
import type { DeadlineEntry } from "./deadline_entry.ts";
import type { Reply } from "./reply.ts";

/** A call that is being forwarded. */
export type Forwarding = {
  call: Call;
  reply: Reply;
  open: DeadlineEntry;
  /** When the call came in, in ms. */
  startedAt: number;
  exchange: Exchange | null;
  /** Releases what the current attempt holds; null between attempts. */
  settleAttempt: ((outcome: Outcome) => void) | null;
  attempts: number;
  /** What is known from the attempts so far. */
  known: Outcome | null;
  /** Daemons that an attempt has failed at. */
  triedDaemons: Set<string>;
  /** Token that its own daemon reported as not run. */
  refused: string | null;
  ended: boolean;
  /** Starts the next attempt, at whatever daemon is best. */
  startNextAttempt: () => void;
};
