import { z } from "zod";
import { RouteReport } from "../calls/route_report.ts";
import { CallHead } from "./call_head.ts";
import { DaemonEntry } from "./daemon_entry.ts";
import { FieldList } from "./field_list.ts";

const Count = z.number().int().min(0);
const Version = Count;
/** Number of a call, assigned by the side that opened the link. */
const Stream = Count;
const Bytes = z.custom<Uint8Array>((value) => value instanceof Uint8Array);
const Load = z.number().min(0);
/** The total length of a body whose earlier pieces were sent before. */
const Total = Count.optional();

/**
 * Messages between daemons, by kind: tuples whose first element is the kind.
 * Deadlines are sent as the remaining ms, since the clocks of two daemons can't
 * be compared. Later versions may append elements, which are ignored.
 */
export const Message = {
  /** First message of the side that opened the link. */
  hello: tuple("hello", DaemonEntry),
  /** First message of the accepting side; sent again when its entry changes. */
  entry: tuple("entry", DaemonEntry),
  /**
   * Id and start time of the recipient's backend server, which announced its
   * departure before the recipient's process was restarted.
   */
  departed: tuple("departed", z.string(), Count),
  /**
   * Addresses of known daemons, sent to a daemon that knows no other. Each is
   * checked separately, so that an invalid one doesn't hide the others.
   */
  peers: tuple("peers", z.array(z.unknown())),
  /** Version and bytes of a configuration, as the operator wrote it. */
  config: tuple("config", Version, Bytes),
  /** Requests the configuration if it is newer than this version. */
  "config-wanted": tuple("config-wanted", Version),
  /** Newest configuration version in the store, sent by a store watcher. */
  "config-current": tuple("config-current", Version),
  ping: tuple("ping"),
  pong: tuple("pong"),
  /** Load and mean run time in ms of the accepting side's backend server. */
  load: tuple("load", Load, z.number().min(0)),
  /** Stream, total length of its body, the next bytes of the body. */
  piece: tuple("piece", Stream, Count, Bytes),
  /** Flow control: number of piece bytes read since the last such message. */
  "piece-read": tuple("piece-read", Count),
  /**
   * Stream, head, remaining ms, body. If the body was sent in pieces: its last
   * piece and its total length.
   */
  request: tuple("request", Stream, CallHead, Count, Bytes, Total),
  cancel: tuple("cancel", Stream),
  /**
   * Stream, status, fields, body, load, route report. If the body was sent in
   * pieces: its last piece, and its total length at the end. An invalid report,
   * such as one of another version, is read as null.
   */
  answered: tuple(
    "answered",
    Stream,
    z.number().int().min(100).max(599),
    FieldList,
    Bytes,
    Load,
    RouteReport.nullable().catch(null),
    Total,
  ),
  /** Stream, reason, ms until capacity is expected, arrived, load. */
  "not-run": tuple(
    "not-run",
    Stream,
    z.string(),
    z.number().min(0),
    z.boolean(),
    Load,
  ),
  /** Stream, reason, load. */
  unknown: tuple("unknown", Stream, z.string(), Load),
};
export type Message = z.output<typeof Message[keyof typeof Message]>;

function tuple<
  Kind extends string,
  Elements extends readonly z.core.SomeType[],
>(kind: Kind, ...elements: Elements) {
  return z.tuple([z.literal(kind), ...elements], z.unknown());
}
