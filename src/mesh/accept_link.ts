import type { Socket } from "node:net";
import type { CallOutcome } from "../calls/call_outcome.ts";
import type { CallReport } from "../calls/call_report.ts";
import type { CallRequest } from "../calls/call_request.ts";
import type { ByteBudget } from "../core/byte_budget.ts";
import type { Logger } from "../core/logger.ts";
import { createLink } from "./create_link.ts";
import { DaemonEntry } from "./daemon_entry.ts";
import type { Link } from "./link.ts";
import { readCallHead } from "./read_call_head.ts";
import type { Message } from "./message.ts";
import type { ReportState } from "./report_state.ts";

/** A link that another daemon opened to this one. */
type Accepted = {
  link: Link;
  /** Null until the other side has introduced itself. */
  entry: DaemonEntry | null;
  /** Steady time at which it was opened, in ms. */
  openedAt: number;
  /** Cancels the calls that have no outcome yet, by stream. */
  cancels: Map<number, () => void>;
  told: ReportState;
  /** Streams of calls whose bodies found no room and may still come. */
  refused: Set<number>;
};

type Handlers = {
  steadyTime: () => number;
  log: Logger;
  /** Account of what all links hold of bodies. */
  budget: ByteBudget;
  entry: () => DaemonEntry;
  onHello: (accepted: Accepted, entry: DaemonEntry) => void;
  onConfig: (version: number, bytes: Uint8Array) => void;
  onConfigWanted: (link: Link, version: number) => void;
  onClose: (accepted: Accepted, reason: string) => void;
  /** Runs a call at the backend server; returns what cancels it. */
  serve: (
    request: CallRequest,
    onOutcome: (outcome: CallOutcome, report: CallReport) => void,
  ) => () => void;
};

/** Serves the calls of another daemon on the link that it opened. */
export function acceptLink(socket: Socket, handlers: Handlers): Accepted {
  const { steadyTime, budget, onClose } = handlers;
  const accepted: Accepted = {
    entry: null,
    openedAt: steadyTime(),
    cancels: new Map(),
    refused: new Set(),
    told: { load: 0, runMs: 0, at: -Infinity, requestedAt: -Infinity },
    link: createLink(socket, {
      steadyTime,
      budget,
      expects: (stream) => !accepted.refused.has(stream),
      onRefused(stream) {
        const { refused, link, told } = accepted;
        refused.add(stream);
        link.send(["not-run", stream, "no-room", 0, false, told.load]);
      },
      onMessage: (message) => receive(accepted, message, handlers),
      onClose({ reason }) {
        const cancels = [...accepted.cancels.values()];
        accepted.cancels.clear();
        for (const cancel of cancels) cancel();
        onClose(accepted, reason);
      },
    }),
  };
  socket.on("data", accepted.link.receive);
  return accepted;
}

function receive(
  accepted: Accepted,
  message: Message,
  handlers: Handlers,
): void {
  if (accepted.entry === null && message[0] !== "hello") {
    accepted.link.reject("not introduced");
    return;
  }
  const handle = RECEIVERS[message[0]];
  if (handle === undefined) {
    handlers.log("peer-message-ignored", { kind: String(message[0]) });
    return;
  }
  handle(accepted, message as never, handlers);
}

type Receiver<Kind extends Message[0]> = (
  accepted: Accepted,
  message: Extract<Message, { 0: Kind }>,
  handlers: Handlers,
) => void;

const RECEIVERS: { [Kind in Message[0]]?: Receiver<Kind> } = {
  hello(accepted, [, input], { entry, onHello }) {
    const parsed = DaemonEntry.safeParse(input);
    if (!parsed.success) {
      accepted.link.reject("unreadable entry");
      return;
    }
    accepted.entry = parsed.data;
    accepted.link.completeHandshake(parsed.data);
    accepted.link.send(["entry", entry()]);
    onHello(accepted, parsed.data);
  },
  config: (_accepted, [, version, bytes], { onConfig }) =>
    onConfig(version, bytes),
  "config-wanted"({ link }, [, version], { onConfigWanted }) {
    onConfigWanted(link, version);
  },
  ping(accepted) {
    accepted.link.send(["pong"]);
  },
  cancel({ cancels, refused, link }, [, stream]) {
    refused.delete(stream);
    link.cancelBody(stream);
    link.dropBody(stream);
    const cancel = cancels.get(stream);
    cancels.delete(stream);
    cancel?.();
  },
  request(accepted, [, stream, head, remainingMs, last, total], handlers) {
    const { link, cancels } = accepted;
    if (accepted.refused.delete(stream)) return;
    const body = link.takeBody(stream, last, total);
    if (body === null) {
      link.reject("malformed body");
      return;
    }
    accepted.told.requestedAt = handlers.steadyTime();
    const request: CallRequest = {
      ...readCallHead(head),
      caller: accepted.entry!.service,
      body,
      expiresAt: accepted.told.requestedAt + remainingMs,
    };
    let settled = false;
    const cancel = handlers.serve(request, (outcome, report) => {
      settled = true;
      cancels.delete(stream);
      accepted.told.load = report.load;
      accepted.told.at = handlers.steadyTime();
      if (!sendOutcome(link, stream, outcome, report)) {
        handlers.log("answer-dropped", {
          id: request.id,
          bytes: outcome.kind === "answered" ? outcome.body.length : 0,
          reason: NO_ROOM.reason,
        });
      }
    });
    if (!settled) cancels.set(stream, cancel);
  },
};

// The request has run, so its caller must not be told that it hasn't.
const NO_ROOM = { kind: "unknown", reason: "no-room" } as const;

/** Returns false where an answer is replaced, since it finds no room. */
function sendOutcome(
  link: Link,
  stream: number,
  outcome: CallOutcome,
  report: CallReport,
): boolean {
  if (outcome.kind !== "answered") {
    link.send(SETTLED[outcome.kind](stream, outcome as never, report));
    return true;
  }
  const { status, fields, body } = outcome;
  const fits = link.sendBody(stream, body, (bytes, ...total) => [
    "answered",
    stream,
    status,
    fields as string[],
    bytes,
    report.load,
    report.route,
    ...total,
  ]);
  if (!fits) link.send(SETTLED.unknown(stream, NO_ROOM, report));
  return fits;
}

const SETTLED: {
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
