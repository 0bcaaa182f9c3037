import type { CallOutcome } from "../calls/call_outcome.ts";
import type { CallRequest } from "../calls/call_request.ts";
import type { ByteBudget } from "../core/byte_budget.ts";
import { connectWithSharedBuffer } from "../core/connect_with_shared_buffer.ts";
import { createMessageReader } from "../http1/create_message_reader.ts";
import type { Message } from "../http1/message.ts";
import type { ReadFault } from "../http1/read_fault.ts";
import { responseFraming } from "../http1/response_framing.ts";
import { writeMessage } from "../http1/write_message.ts";
import type { ServerConnection } from "./server_connection.ts";
import type { ServerProtocol } from "./server_protocol.ts";

const MAX_HEAD_BYTES = 64 * 1024;
// Maximum number of interim responses and responses to earlier requests that
// may precede the response to a request.
const MAX_SKIPPED_RESPONSES = 8;
// Together with the response, these may take this many times the maximum body
// size.
const MAX_WIRE_FACTOR = 2;
// A connection remembers the requests that failed on it, and isn't used again
// once there are this many.
const MAX_FAILED_REQUESTS = 64;
const SERVER_ERROR = 500;
const INTERIM = /^HTTP\/1\.1 1\d\d(?: |$)/;
// Assumed for a server that does not announce a keep-alive timeout.
const DEFAULT_KEEP_ALIVE_MS = 5_000;

const EMPTY = Buffer.alloc(0);

const FAULT_REASON = {
  malformed: "malformed-response",
  "head-too-large": "oversized-response",
  "body-too-large": "oversized-response",
  "framing-too-large": "oversized-response",
  "no-room": "no-room",
} as const satisfies Record<ReadFault, string>;

const oversized: CallOutcome = {
  kind: "unknown",
  reason: "oversized-response",
};
const mismatched: CallOutcome = {
  kind: "unknown",
  reason: "mismatched-response",
};

type Exchange = {
  request: CallRequest;
  onOutcome: (outcome: CallOutcome) => void;
};

/**
 * Opens a connection to the backend server. `onIdle` is called whenever it can
 * take another request, and `onClose` once when it closes; a request in
 * progress gets its outcome before that.
 */
export function openServerConnection(
  { host, port, protocol, budget, steadyTime, onIdle, onClose }: {
    host: string;
    port: number;
    protocol: ServerProtocol;
    /** Accounts for the bytes of responses that are being read. */
    budget: ByteBudget;
    steadyTime: () => number;
    onIdle: (connection: ServerConnection) => void;
    onClose: (connection: ServerConnection) => void;
  },
): ServerConnection {
  let exchange: Exchange | null = null;
  let connected = false;
  let closed = false;
  // False after a response to another request, since more of them may follow.
  let reusable = true;
  // Bytes received and responses skipped since the last request was sent.
  let wireBytes = 0;
  let skipped = 0;
  let requests = 0;
  // Ids of requests whose responses don't end all attempts to run them.
  const failedRequests = new Set<string>();
  const limits = {
    headBytes: MAX_HEAD_BYTES,
    bodyBytes: Math.floor(budget.limit / 2),
  };
  const socket = connectWithSharedBuffer(
    { host, port, allowHalfOpen: true },
    (chunk) => {
      if (closed) return;
      wireBytes += chunk.length;
      // Bytes that arrive while the connection is idle belong to no request.
      if (exchange === null) close(lossOutcome());
      else if (wireBytes > MAX_WIRE_FACTOR * limits.bodyBytes) {
        close(oversized);
      } else reader.push(chunk);
    },
  );
  socket.setNoDelay(true);

  const settle = (outcome: CallOutcome) => {
    const settled = exchange;
    exchange = null;
    settled?.onOutcome(outcome);
  };
  const close = (outcome: CallOutcome) => {
    if (closed) return;
    closed = true;
    socket.destroy();
    reader.close();
    settle(outcome);
    onClose(connection);
  };
  const lossOutcome = (): CallOutcome =>
    connected
      ? { kind: "unknown", reason: "connection-lost" }
      : { kind: "not-run", reason: "connect-failed", arrived: false };

  const skip = () => {
    if (++skipped > MAX_SKIPPED_RESPONSES) close(oversized);
  };

  const onMessage = (message: Message) => {
    if (exchange === null) {
      close(lossOutcome());
      return;
    }
    if (INTERIM.test(message.startLine)) {
      skip();
      return;
    }
    const response = protocol.readResponse(message, exchange.request);
    if (response.kind === "foreign") {
      reusable = false;
      if (!message.persistent) {
        close(mismatched);
      } else skip();
      return;
    }
    const { outcome, identified, keepAliveMs } = response;
    // Only the first response on a connection can't belong to another request.
    if (!identified && (requests > 1 || skipped > 0)) {
      close(mismatched);
      return;
    }
    if (isFailure(outcome)) failedRequests.add(exchange.request.id);
    reusable &&= failedRequests.size < MAX_FAILED_REQUESTS;
    reusable &&= message.persistent && outcome.kind !== "unknown";
    if (!reusable) {
      close(outcome);
      return;
    }
    settle(outcome);
    connection.keepAliveMs = keepAliveMs ?? DEFAULT_KEEP_ALIVE_MS;
    // Bytes after the response in the same chunk belong to no request. The
    // reader has seen them by the time this runs, before the next request is
    // sent.
    queueMicrotask(() => {
      if (closed) return;
      if (reader.partial() !== "none") {
        close(lossOutcome());
        return;
      }
      connection.idleSince = steadyTime();
      onIdle(connection);
    });
  };
  const reader = createMessageReader({
    framing: responseFraming,
    limits: () => limits,
    budget,
    onMessage,
    onFault: (fault) => close({ kind: "unknown", reason: FAULT_REASON[fault] }),
  });
  const connection: ServerConnection = {
    idleSince: steadyTime(),
    keepAliveMs: DEFAULT_KEEP_ALIVE_MS,
    send(request, now, onOutcome) {
      exchange = { request, onOutcome };
      wireBytes = 0;
      skipped = 0;
      requests++;
      const remainingMs = Math.max(0, Math.floor(request.expiresAt - now));
      const head = protocol.formatRequest(request, remainingMs);
      writeMessage(socket, head, request.body);
    },
    close: () => close(lossOutcome()),
    mayCarry: (id) => !failedRequests.has(id),
  };
  socket.on("connect", () => {
    connected = true;
  });
  const end = () => {
    reader.end();
    close(
      reader.partial() !== "none"
        ? { kind: "unknown", reason: "truncated-response" }
        : lossOutcome(),
    );
  };
  socket.on("end", () => {
    // libuv also reports the end of the stream if the connection was reset
    // after its last bytes. In that case a write fails, even an empty one.
    if (reader.partial() !== "body") end();
    else {
      socket.write(EMPTY, (error) => {
        if (error) close({ kind: "unknown", reason: "truncated-response" });
        else end();
      });
    }
  });
  socket.on("error", () => close(lossOutcome()));
  socket.on("close", () => close(lossOutcome()));
  return connection;
}

/** Whether the request may be sent to the server once more. */
function isFailure(outcome: CallOutcome): boolean {
  return outcome.kind !== "answered" || outcome.status >= SERVER_ERROR;
}
