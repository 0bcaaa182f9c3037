import type { Socket } from "node:net";
import type { CallOutcome } from "../calls/call_outcome.ts";
import type { CallReport } from "../calls/call_report.ts";
import type { CallRequest } from "../calls/call_request.ts";
import type { ByteBudget } from "../core/byte_budget.ts";
import type { Logger } from "../core/logger.ts";
import type { Metrics } from "../metrics/metrics.ts";
import { createLink } from "./create_link.ts";
import type { DaemonEntry } from "./daemon_entry.ts";
import type { InvalidMessage } from "./invalid_message.ts";
import type { Link } from "./link.ts";
import { readCallHead } from "./read_call_head.ts";
import type { Message } from "./message.ts";
import { reportInvalidMessage } from "./report_invalid_message.ts";
import type { ReportState } from "./report_state.ts";

/** A link that another daemon opened to this one. */
type AcceptedLink = {
  link: Link;
  /** Null until the peer has sent its entry. */
  entry: DaemonEntry | null;
  /** Monotonic time at which the link was opened, in ms. */
  openedAt: number;
  /** Functions that cancel the calls in flight, by stream. */
  cancelFunctions: Map<number, () => void>;
  reportState: ReportState;
  /**
   * Streams of calls that were rejected because their bodies exceeded the
   * memory budget. Further pieces of them may still arrive.
   */
  rejectedStreams: Set<number>;
};

type Handlers = {
  steadyTime: () => number;
  log: Logger;
  metrics: Metrics;
  /** Memory budget for the bodies of all links. */
  budget: ByteBudget;
  /** Returns this daemon's entry. */
  entry: () => DaemonEntry;
  onHello: (accepted: AcceptedLink, entry: DaemonEntry) => void;
  onConfig: (version: number, bytes: Uint8Array) => void;
  onConfigWanted: (link: Link, version: number) => void;
  onClose: (accepted: AcceptedLink, reason: string) => void;
  /** Runs a call at the backend server; returns a function that cancels it. */
  serve: (
    request: CallRequest,
    onOutcome: (outcome: CallOutcome, report: CallReport) => void,
  ) => () => void;
};

/** Serves the calls of another daemon on the link that it opened. */
export function acceptLink(socket: Socket, handlers: Handlers): AcceptedLink {
  const { steadyTime, budget, onClose } = handlers;
  const accepted: AcceptedLink = {
    entry: null,
    openedAt: steadyTime(),
    cancelFunctions: new Map(),
    rejectedStreams: new Set(),
    reportState: { load: 0, runMs: 0, at: -Infinity, requestedAt: -Infinity },
    link: createLink(socket, {
      steadyTime,
      budget,
      expectsBody: (stream) => !accepted.rejectedStreams.has(stream),
      onBodyRejected(stream) {
        const { rejectedStreams, link, reportState } = accepted;
        rejectedStreams.add(stream);
        link.send(["not-run", stream, "no-room", 0, false, reportState.load]);
      },
      onMessage: (message) => receive(accepted, message, handlers),
      onInvalid: (message) => receiveInvalid(accepted, message, handlers),
      onClose({ reason }) {
        const cancelFunctions = [...accepted.cancelFunctions.values()];
        accepted.cancelFunctions.clear();
        for (const cancel of cancelFunctions) cancel();
        onClose(accepted, reason);
      },
    }),
  };
  socket.on("data", accepted.link.receive);
  return accepted;
}

function receive(
  accepted: AcceptedLink,
  message: Message,
  handlers: Handlers,
): void {
  if (accepted.entry === null && message[0] !== "hello") {
    accepted.link.reject("message before hello");
    return;
  }
  const handle = MESSAGE_HANDLERS[message[0]];
  if (handle === undefined) {
    handlers.log("peer-message-ignored", {
      peer: accepted.entry?.name,
      kind: message[0],
    });
    return;
  }
  handle(accepted, message as never, handlers);
}

function receiveInvalid(
  accepted: AcceptedLink,
  message: InvalidMessage,
  handlers: Handlers,
): void {
  const { entry, link, rejectedStreams, reportState } = accepted;
  const { kind, stream } = message;
  reportInvalidMessage(message, entry?.name, handlers);
  if (entry === null) {
    link.reject(
      kind === "hello" ? "invalid entry in hello" : "message before hello",
    );
    return;
  }
  if (kind !== "request" || stream === null) return;
  rejectedStreams.delete(stream);
  link.dropBody(stream);
  link.send(["unknown", stream, "malformed-message", reportState.load]);
}

type MessageHandler<Kind extends Message[0]> = (
  accepted: AcceptedLink,
  message: Extract<Message, { 0: Kind }>,
  handlers: Handlers,
) => void;

const MESSAGE_HANDLERS: { [Kind in Message[0]]?: MessageHandler<Kind> } = {
  hello(accepted, [, peerEntry], { entry, onHello }) {
    accepted.entry = peerEntry;
    accepted.link.completeHandshake(peerEntry);
    accepted.link.send(["entry", entry()]);
    onHello(accepted, peerEntry);
  },
  config: (_accepted, [, version, bytes], { onConfig }) =>
    onConfig(version, bytes),
  "config-wanted"({ link }, [, version], { onConfigWanted }) {
    onConfigWanted(link, version);
  },
  ping(accepted) {
    accepted.link.send(["pong"]);
  },
  cancel({ cancelFunctions, rejectedStreams, link }, [, stream]) {
    rejectedStreams.delete(stream);
    link.cancelBody(stream);
    link.dropBody(stream);
    const cancel = cancelFunctions.get(stream);
    cancelFunctions.delete(stream);
    cancel?.();
  },
  request(accepted, [, stream, head, remainingMs, last, total], handlers) {
    const { link, cancelFunctions } = accepted;
    if (accepted.rejectedStreams.delete(stream)) return;
    const body = link.takeBody(stream, last, total);
    if (body === null) {
      link.reject("malformed body");
      return;
    }
    accepted.reportState.requestedAt = handlers.steadyTime();
    const request: CallRequest = {
      ...readCallHead(head),
      caller: accepted.entry!.service,
      body,
      expiresAt: accepted.reportState.requestedAt + remainingMs,
    };
    let settled = false;
    const cancel = handlers.serve(request, (outcome, report) => {
      settled = true;
      cancelFunctions.delete(stream);
      accepted.reportState.load = report.load;
      accepted.reportState.at = handlers.steadyTime();
      if (!sendOutcome(link, stream, outcome, report)) {
        handlers.log("answer-dropped", {
          id: request.id,
          bytes: outcome.kind === "answered" ? outcome.body.length : 0,
          reason: NO_ROOM_OUTCOME.reason,
        });
      }
    });
    if (!settled) cancelFunctions.set(stream, cancel);
  },
};

// Sent instead of a response that exceeds the memory budget. Not `not-run`,
// since the request has run.
const NO_ROOM_OUTCOME = { kind: "unknown", reason: "no-room" } as const;

/**
 * Returns false if the response exceeds a memory limit; an unknown outcome is
 * sent in its place.
 */
function sendOutcome(
  link: Link,
  stream: number,
  outcome: CallOutcome,
  report: CallReport,
): boolean {
  if (outcome.kind !== "answered") {
    link.send(ENCODERS[outcome.kind](stream, outcome as never, report));
    return true;
  }
  const { status, fields, body } = outcome;
  const queued = link.sendBody(stream, body, (bytes, ...total) => [
    "answered",
    stream,
    status,
    fields as string[],
    bytes,
    report.load,
    report.route,
    ...total,
  ]);
  if (!queued) link.send(ENCODERS.unknown(stream, NO_ROOM_OUTCOME, report));
  return queued;
}

const ENCODERS: {
  [Kind in Exclude<CallOutcome["kind"], "answered">]: (
    stream: number,
    outcome: Extract<CallOutcome, { kind: Kind }>,
    report: CallReport,
  ) => Message;
} = {
  "not-run": (stream, { reason, waitMs = 0, arrived }, { load }) => [
    "not-run",
    stream,
    reason,
    Math.round(waitMs),
    arrived,
    load,
  ],
  unknown: (stream, { reason }, { load }) => ["unknown", stream, reason, load],
};
