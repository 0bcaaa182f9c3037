import type { RouteReport } from "../calls/route_report.ts";
import type { CallHead } from "./call_head.ts";
import type { DaemonEntry } from "./daemon_entry.ts";

/**
 * Messages between daemons: tuples whose first element is the kind. Each call
 * has a stream number, assigned by the side that opened the link. Deadlines
 * are sent as the remaining ms, since the clocks of two daemons can't be
 * compared.
 */
export type Message =
  /** First message of the side that opened the link. */
  | ["hello", DaemonEntry]
  /** First message of the accepting side; sent again when its entry changes. */
  | ["entry", DaemonEntry]
  /**
   * Id and start time of the recipient's backend server, which announced its
   * departure before the recipient's process was restarted.
   */
  | ["departed", string, number]
  /** Addresses of known daemons, sent to a daemon that knows no other. */
  | ["peers", string[]]
  /** Version and bytes of a configuration, as the operator wrote it. */
  | ["config", number, Uint8Array]
  /** Requests the configuration if it is newer than this version. */
  | ["config-wanted", number]
  /** Newest configuration version in the store, sent by a store watcher. */
  | ["config-current", number]
  | ["ping"]
  | ["pong"]
  /** Load and mean run time in ms of the accepting side's backend server. */
  | ["load", number, number]
  /** Stream, total length of its body, the next bytes of the body. */
  | ["piece", number, number, Uint8Array]
  /** Flow control: number of piece bytes read since the last such message. */
  | ["piece-read", number]
  /**
   * Stream, head, remaining ms, body. If the body was sent in pieces: its last
   * piece and its total length.
   */
  | [
    "request",
    number,
    CallHead,
    number,
    Uint8Array,
    number?,
  ]
  | ["cancel", number]
  /**
   * Stream, status, fields, body, load, route report. If the body was sent in
   * pieces: its last piece, and its total length at the end.
   */
  | [
    "answered",
    number,
    number,
    string[],
    Uint8Array,
    number,
    RouteReport | null,
    number?,
  ]
  /** Stream, reason, ms until capacity is expected, arrived, load. */
  | ["not-run", number, string, number, boolean, number]
  /** Stream, reason, load. */
  | ["unknown", number, string, number];
