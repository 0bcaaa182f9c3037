import type { CallOutcome } from "../calls/call_outcome.ts";
import type { RouteReport } from "../calls/route_report.ts";
import { connectWithSharedBuffer } from "../core/connect_with_shared_buffer.ts";
import { Address } from "../core/address.ts";
import type { ByteBudget } from "../core/byte_budget.ts";
import type { Logger } from "../core/logger.ts";
import { count } from "../metrics/count.ts";
import type { Metrics } from "../metrics/metrics.ts";
import { createLink } from "./create_link.ts";
import type { DaemonEntry } from "./daemon_entry.ts";
import type { Message } from "./message.ts";
import { reportInvalidMessage } from "./report_invalid_message.ts";
import type { Peer } from "./peer.ts";

// Connecting to another data centre takes a few ms. A lost SYN is retransmitted
// after one second; the time-out allows for one such retransmission.
const CONNECT_TIMEOUT_MS = 1_200;
const RETRY_MS = 500;
const NO_BODY = Buffer.alloc(0);
const MAX_LOGGED_LENGTH = 64;
const OUTCOME_KINDS: ReadonlySet<string> = new Set(
  [
    "answered",
    "not-run",
    "unknown",
  ] satisfies Message[0][],
);

type Handlers = {
  steadyTime: () => number;
  log: Logger;
  metrics: Metrics;
  /** Memory budget for the bodies of all links. */
  budget: ByteBudget;
  /** Returns this daemon's entry, sent in the `hello` message. */
  hello: () => DaemonEntry;
  onEntry: (peer: Peer) => void;
  onLost: () => void;
  onPeers: (addresses: string[]) => void;
  onConfig: (version: number, bytes: Uint8Array) => void;
  onConfigCurrent: (peer: Peer, version: number) => void;
  onDeparted: (departure: { id: string; startedAt: number }) => void;
};

/** Connects to a peer. Its calls end as unknown when the link is lost. */
export function openPeerLink(peer: Peer, handlers: Handlers): void {
  const { steadyTime, log, metrics, budget, hello, onLost } = handlers;
  const [host, port] = peer.address.split(":") as [string, string];
  peer.connecting = true;
  const socket = connectWithSharedBuffer(
    { host, port: Number(port) },
    (chunk) => link.receive(chunk),
  );
  const connectTimer = setTimeout(
    () =>
      socket.destroy(
        Object.assign(new Error("connect timed out"), { code: "ETIMEDOUT" }),
      ),
    CONNECT_TIMEOUT_MS,
  );
  let connected = false;
  const link = createLink(socket, {
    steadyTime,
    budget,
    expectsBody: (stream) => peer.calls.has(stream),
    onBodyRejected(stream) {
      link.send(["cancel", stream]);
      const outcome = { kind: "unknown", reason: "no-room" } as const;
      settle(peer, stream, peer.load, outcome, null);
    },
    onMessage: (message) => receive(peer, message, handlers),
    onInvalid(message) {
      reportInvalidMessage(message, peer.address, handlers);
      const { kind, stream } = message;
      if (stream === null || !OUTCOME_KINDS.has(kind)) return;
      link.dropBody(stream);
      const outcome = { kind: "unknown", reason: "malformed-message" } as const;
      settle(peer, stream, peer.load, outcome, null);
    },
    onClose({ kind, reason }) {
      clearTimeout(connectTimer);
      const now = steadyTime();
      peer.connecting = false;
      peer.retryAt = now + RETRY_MS;
      if (connected || peer.downSince === null) {
        log("peer-lost", {
          peer: peer.entry?.name ?? peer.address,
          reason,
          calls: peer.calls.size,
        });
        count(metrics, "peer_links_lost", { reason: kind });
        count(metrics, "peer_calls_lost", {}, peer.calls.size);
      }
      peer.downSince ??= now;
      peer.link = null;
      peer.entry = null;
      peer.suspect = false;
      peer.pingedAt = null;
      peer.load = 0;
      peer.callsSinceReport = 0;
      onLost();
      const lostCalls = [...peer.calls.values()];
      peer.calls.clear();
      for (const { onOutcome } of lostCalls) {
        onOutcome({ kind: "unknown", reason: "link-lost" }, null);
      }
    },
  });
  socket.on("connect", () => {
    clearTimeout(connectTimer);
    connected = true;
    peer.connecting = false;
    peer.link = link;
    link.lastActivityAt = steadyTime();
    peer.openedAt = link.lastActivityAt;
    link.send(["hello", hello()]);
  });
}

function receive(peer: Peer, message: Message, handlers: Handlers): void {
  const handle = MESSAGE_HANDLERS[message[0]];
  if (handle === undefined) {
    handlers.log("peer-message-ignored", {
      peer: peer.address,
      kind: message[0],
    });
    return;
  }
  handle(peer, message as never, handlers);
}

type MessageHandler<Kind extends Message[0]> = (
  peer: Peer,
  message: Extract<Message, { 0: Kind }>,
  handlers: Handlers,
) => void;

const MESSAGE_HANDLERS: { [Kind in Message[0]]?: MessageHandler<Kind> } = {
  entry(peer, [, entry], { log, onEntry }) {
    const first = peer.entry === null;
    peer.entry = entry;
    peer.link!.completeHandshake(entry);
    recordDeparture(peer, entry.server);
    if (first) {
      log("peer-found", { peer: entry.name, address: peer.address });
      peer.downSince = null;
    }
    onEntry(peer);
  },
  departed: (_peer, [, id, startedAt], { onDeparted }) =>
    onDeparted({ id, startedAt }),
  peers(peer, [, addresses], { log, metrics, onPeers }) {
    const valid: Address[] = [];
    for (const input of addresses) {
      const parsed = Address.safeParse(input);
      if (parsed.success) {
        valid.push(parsed.data);
        continue;
      }
      count(metrics, "peer_addresses_invalid", {});
      log("peer-address-invalid", {
        peer: peer.address,
        address: typeof input === "string"
          ? input.slice(0, MAX_LOGGED_LENGTH)
          : typeof input,
      });
    }
    onPeers(valid);
  },
  config: (_peer, [, version, bytes], { onConfig }) => onConfig(version, bytes),
  "config-current": (peer, [, version], { onConfigCurrent }) =>
    onConfigCurrent(peer, version),
  pong(peer) {
    peer.suspect = false;
    peer.pingedAt = null;
  },
  load(peer, [, load, runMs]) {
    peer.load = load;
    peer.runMs = runMs;
    peer.callsSinceReport = 0;
  },
  answered(peer, [, stream, status, fields, last, load, route, total]) {
    const body = peer.link!.takeBody(stream, last, total);
    // Pieces of a response to a cancelled call have been discarded.
    if (body === null && peer.calls.has(stream)) {
      peer.link!.reject("malformed body");
      return;
    }
    settle(peer, stream, load, {
      kind: "answered",
      status,
      fields,
      body: body ?? NO_BODY,
    }, route);
  },
  "not-run"(peer, [, stream, reason, waitMs, arrived, load]) {
    settle(peer, stream, load, {
      kind: "not-run",
      reason: reason as Extract<CallOutcome, { kind: "not-run" }>["reason"],
      waitMs,
      arrived,
    }, null);
  },
  unknown(peer, [, stream, reason, load]) {
    settle(peer, stream, load, {
      kind: "unknown",
      reason: reason as Extract<CallOutcome, { kind: "unknown" }>["reason"],
    }, null);
  },
};

/** Remembers a server that has signed off until a later one replaces it. */
function recordDeparture(peer: Peer, server: DaemonEntry["server"]): void {
  if (server === null) return;
  const { id, startedAt, signedOff } = server;
  if (signedOff) peer.departure = { id, startedAt };
  else if (startedAt > (peer.departure?.startedAt ?? -1)) peer.departure = null;
}

function settle(
  peer: Peer,
  stream: number,
  load: number,
  outcome: CallOutcome,
  route: RouteReport | null,
): void {
  peer.load = load;
  peer.callsSinceReport = 0;
  const call = peer.calls.get(stream);
  // Absent if the call was cancelled while its outcome was on the way.
  if (call === undefined) return;
  peer.calls.delete(stream);
  // The outcome can arrive before the whole request body has been sent.
  if (peer.link!.cancelBody(stream)) peer.link!.send(["cancel", stream]);
  call.onOutcome(outcome, { load, route });
}
