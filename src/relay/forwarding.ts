import type { Outcome } from "../outcomes/outcome.ts";
import type { Call } from "./call.ts";
import type { Exchange } from "./exchange.ts";
import type { DeadlineEntry } from "./deadline_entry.ts";
import type { Reply } from "./reply.ts";

/** A call that is being forwarded. */
export type Forwarding = {
  call: Call;
  reply: Reply;
  /** Its entry in `Relay.open`. */
  open: DeadlineEntry;
  /** When the call came in, in ms. */
  startedAt: number;
  exchange: Exchange | null;
  /** Settles the accounting of the current attempt; null between attempts. */
  settleAttempt: ((outcome: Outcome) => void) | null;
  attempts: number;
  /** Combined outcome of the attempts so far. */
  known: Outcome | null;
  /** Daemons at which an attempt has failed. */
  triedDaemons: Set<string>;
  /**
   * Token of the last failed attempt, which a binding may replace by a fresh
   * one.
   */
  refusedToken: string | null;
  ended: boolean;
  /** Starts the next attempt, at the best daemon that is available. */
  startNextAttempt: () => void;
};
