import type { RouteReport } from "../calls/route_report.ts";
import type { CallHead } from "./call_head.ts";
import type { DaemonEntry } from "./daemon_entry.ts";

/**
 * Messages between daemons: tuples that begin with their kind. Calls carry a
 * stream number that the side that opened the link chose. Times are remaining
 * ms, since the clocks of two daemons can't be compared.
 */
export type Message =
  /** First message of the side that opened the link. */
  | ["hello", DaemonEntry]
  /** First message of the accepting side, sent again when its entry changes. */
  | ["entry", DaemonEntry]
  /** Id and start of a server that left while its daemon had another process. */
  | ["departed", string, number]
  /** Addresses of daemons, for one that knows no other. */
  | ["peers", string[]]
  /** A configuration with its version, as the operator wrote it. */
  | ["config", number, Uint8Array]
  /** Asks for the configuration if it is newer than this version. */
  | ["config-wanted", number]
  /** Version of the configuration that a watcher of the store has. */
  | ["config-current", number]
  | ["ping"]
  | ["pong"]
  /** Load and mean run time in ms of the accepting side's backend server. */
  | ["load", number, number]
  /** Stream, length of its whole body, the next bytes of it. */
  | ["piece", number, number, Uint8Array]
  /** Bytes of pieces that the other side may send more. */
  | ["piece-read", number]
  /**
   * Stream, head, remaining ms, body. After pieces, the last bytes of the body
   * and its whole length.
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
  /** Stream, status, fields, body, load, report on the route; pieces alike. */
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
  /** Stream, reason, time until room is expected, arrived, load. */
  | ["not-run", number, string, number, boolean, number]
  /** Stream, reason, load. */
  | ["unknown", number, string, number];
