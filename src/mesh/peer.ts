import type { CallOutcome } from "../calls/call_outcome.ts";
import type { CallReport } from "../calls/call_report.ts";
import type { DaemonEntry } from "./daemon_entry.ts";
import type { Link } from "./link.ts";

/** Another daemon as seen over the link that this daemon opened to it. */
export type Peer = {
  address: string;
  /** Null until the other side has introduced itself on the present link. */
  entry: DaemonEntry | null;
  link: Link | null;
  connecting: boolean;
  /** Steady time at which the present link was opened, in ms. */
  openedAt: number;
  /** Its server that said that it leaves; kept for the daemon's next process. */
  departure: { id: string; startedAt: number } | null;
  /** Calls without an outcome, by stream. */
  calls: Map<number, {
    onOutcome: (outcome: CallOutcome, report: CallReport | null) => void;
    onSilence: () => void;
  }>;
  /** Load of its backend server as last reported. */
  load: number;
  /** Mean time that its backend server runs a request, in ms; 0: unknown. */
  runMs: number;
  /** Calls sent since that report. */
  callsSinceReport: number;
  /** Steady time of the first failure since the link was last up, in ms. */
  downSince: number | null;
  /** Steady time of the next attempt to connect, in ms. */
  retryAt: number;
  /** Whether a ping has been without an answer for unusually long. */
  suspect: boolean;
  /** Steady time of a ping without an answer, in ms. */
  pingedAt: number | null;
};
