import type { CallOutcome } from "../calls/call_outcome.ts";
import type { CallReport } from "../calls/call_report.ts";
import type { DaemonEntry } from "./daemon_entry.ts";
import type { Link } from "./link.ts";

/** Another daemon and the outgoing link to it. */
export type Peer = {
  address: string;
  /** Null until the peer has sent its entry on the current link. */
  entry: DaemonEntry | null;
  link: Link | null;
  connecting: boolean;
  /** Monotonic time at which the current link was opened, in ms. */
  openedAt: number;
  /**
   * The peer's backend server after it has announced its departure. Kept so
   * that the peer can be told when its process has been restarted.
   */
  departure: { id: string; startedAt: number } | null;
  /** Calls in flight, by stream. */
  calls: Map<number, {
    onOutcome: (outcome: CallOutcome, report: CallReport | null) => void;
    onSuspect: () => void;
  }>;
  /** Last reported load of its backend server. */
  load: number;
  /** Mean run time of requests at its backend server, in ms; 0 if unknown. */
  runMs: number;
  /** Calls sent since the load was last reported. */
  callsSinceReport: number;
  /** Monotonic time of the first failure since the link was up, in ms. */
  downSince: number | null;
  /** Monotonic time of the next connection attempt, in ms. */
  retryAt: number;
  /** A ping has been unanswered for unusually long. */
  suspect: boolean;
  /** Monotonic time at which the unanswered ping was sent, in ms. */
  pingedAt: number | null;
};
