import type { Socket } from "node:net";
import type { ByteBudget } from "../core/byte_budget.ts";
import type { ByteReservation } from "../core/byte_reservation.ts";
import { createByteReservation } from "../core/create_byte_reservation.ts";
import type { Logger } from "../core/logger.ts";
import { createMessageReader } from "../http1/create_message_reader.ts";
import type { MessageLimits } from "../http1/message_limits.ts";
import { requestFraming } from "../http1/request_framing.ts";
import { writeMessage } from "../http1/write_message.ts";
import type { Origin } from "../origin/origin.ts";
import type { OriginRequest } from "../origin/origin_request.ts";
import type { Reply } from "../origin/reply.ts";
import type { ClientConnections } from "./client_connections.ts";
import type { ClientProtocol } from "./client_protocol.ts";
import type { ConnectionFault } from "./connection_fault.ts";

// Requests in progress per connection; beyond that, reading is paused.
const MAX_PIPELINED = 32;
// Time that a client has to close its side after all replies have been sent.
const LINGER_MS = 2_000;
// Time that a client has to read its last reply.
const UNREAD_TIMEOUT_MS = 30_000;
// A request body that takes longer outlasts the deadlines that clients set.
const BODY_TIMEOUT_MS = 60_000;
// Retry hint for requests rejected because the memory budget is exhausted.
const NO_ROOM_RETRY_MS = 500;
const CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";

type Limits = MessageLimits & { headTimeoutMs: number; idleTimeoutMs: number };

/** A pipelined request and, once available, its reply. */
type Slot = {
  request: OriginRequest | null;
  reply: { head: string; body: Buffer } | Reply | null;
  /** The connection is closed after this request; nothing more is read. */
  last: boolean;
  /** Memory reserved for the request body, later for the reply body. */
  reservation: ByteReservation;
  cancel: () => void;
};

type Client = {
  slots: Slot[];
  /** Monotonic time of the last byte read or reply written, in ms. */
  activeAt: number;
  /** The part of a request being received, and since when. */
  unfinished: { part: "head" | "body"; since: number } | null;
  sweep(now: number): void;
  closeIfIdle(): void;
};

/**
 * Serves client connections. Requests may be pipelined; replies are sent in the
 * order of the requests.
 */
export function createClientConnections(
  { origin, protocol, limits, budget, steadyTime, log }: {
    origin: Origin;
    protocol: ClientProtocol;
    limits: () => Limits;
    /** Memory budget for received requests and unsent replies. */
    budget: ByteBudget;
    steadyTime: () => number;
    log: Logger;
  },
): ClientConnections {
  const clients = new Set<Client>();
  let draining = false;
  let unsentReplies = 0;

  function accept(socket: Socket): void {
    const client: Client = {
      slots: [],
      activeAt: steadyTime(),
      unfinished: null,
      sweep,
      closeIfIdle() {
        if (client.slots.length === 0 && reader.partial() === "none") linger();
      },
    };
    clients.add(client);
    socket.setNoDelay(true);
    let disconnected = false;
    let reading = true;
    let discardedBytes = 0;
    // Reservations of replies that have been written but not flushed.
    const unsentReservations = new Set<ByteReservation>();

    /**
     * Lingering close: a request that arrives during the close is not read, so
     * that it isn't forwarded, and the client has time to read the replies.
     */
    const linger = () => {
      reading = false;
      reader.close();
      const close = () => socket.destroy();
      const unreadTimer = setTimeout(close, UNREAD_TIMEOUT_MS).unref();
      socket.end(() => {
        clearTimeout(unreadTimer);
        setTimeout(close, LINGER_MS).unref();
      });
    };
    const flush = () => {
      while (!disconnected && client.slots.length > 0) {
        const slot = client.slots[0]!;
        if (slot.reply === null) return;
        client.slots.shift();
        const close = slot.last ||
          (draining && client.slots.length === 0 &&
            reader.partial() === "none");
        const { head, body } = "head" in slot.reply
          ? slot.reply
          : protocol.formatReply(slot.reply, slot.request!, close);
        unsentReservations.add(slot.reservation);
        unsentReplies++;
        writeMessage(socket, head, body, () => {
          unsentReplies--;
          unsentReservations.delete(slot.reservation);
          slot.reservation.resize(0);
        });
        client.activeAt = steadyTime();
        if (close) linger();
        else if (client.slots.length === MAX_PIPELINED - 1) socket.resume();
      }
    };
    const settle = (slot: Slot, reply: Reply) => {
      const bytes = "body" in reply ? reply.body.length : 0;
      if (slot.reservation.resize(bytes)) slot.reply = reply;
      else {
        slot.reservation.resize(0);
        log("reply-dropped", { id: slot.request?.id, reason: "no-room" });
        slot.reply = { kind: "failure", reason: "no-room", expired: false };
      }
      flush();
    };
    const reject = (fault: ConnectionFault) => {
      log("connection-rejected", { fault, peer: socket.remoteAddress });
      reading = false;
      reader.close();
      const head = protocol.formatFault(fault);
      client.slots.push({
        request: null,
        reply: { head, body: Buffer.alloc(0) },
        last: true,
        reservation: createByteReservation(budget),
        cancel: noop,
      });
      flush();
    };
    const reader = createMessageReader({
      framing: requestFraming,
      limits,
      budget,
      onFault: reject,
      onContinue() {
        if (client.slots.length === 0) socket.write(CONTINUE);
      },
      onMessage(message) {
        if (!reading) return;
        client.unfinished = null;
        const request = protocol.readRequest(message);
        if (request === null) {
          reject("malformed");
          return;
        }
        const slot: Slot = {
          request,
          reply: null,
          last: !message.persistent,
          reservation: createByteReservation(budget),
          cancel: noop,
        };
        client.slots.push(slot);
        reading = message.persistent;
        if (client.slots.length >= MAX_PIPELINED) socket.pause();
        if (!slot.reservation.resize(request.body.length)) {
          log("request-refused", { id: request.id, reason: "no-room" });
          settle(slot, {
            kind: "refusal",
            reason: "no-room",
            retryAfterMs: NO_ROOM_RETRY_MS,
          });
          return;
        }
        slot.cancel = origin.start(request, (reply) => settle(slot, reply));
      },
    });
    function sweep(now: number) {
      const { headTimeoutMs, idleTimeoutMs } = limits();
      const partial = reader.partial();
      if (!reading || partial === "none") client.unfinished = null;
      else if (client.unfinished?.part !== partial) {
        client.unfinished = { part: partial, since: now };
      }
      const timeoutMs = { head: headTimeoutMs, body: BODY_TIMEOUT_MS };
      const { unfinished } = client;
      if (
        unfinished !== null &&
        now - unfinished.since > timeoutMs[unfinished.part]
      ) {
        reject(`${unfinished.part}-timeout`);
      } else if (
        client.slots.length === 0 && now - client.activeAt > idleTimeoutMs
      ) {
        if (partial === "none") linger();
        else socket.destroy();
      }
    }
    const onDisconnect = () => {
      if (disconnected) return;
      disconnected = true;
      clients.delete(client);
      reader.close();
      for (const { reply, reservation, cancel } of client.slots.splice(0)) {
        reservation.resize(0);
        if (reply === null) cancel();
      }
    };
    socket.on("data", (chunk: Buffer) => {
      client.activeAt = steadyTime();
      if (reading) {
        reader.push(chunk);
        return;
      }
      discardedBytes += chunk.length;
      // Stops reading once a client has sent more than the maximum size of a
      // request, so that it can't send endlessly.
      const { headBytes, bodyBytes } = limits();
      if (discardedBytes > headBytes + bodyBytes) socket.pause();
    });
    socket.on("end", onDisconnect);
    socket.on("close", () => {
      onDisconnect();
      for (const reservation of unsentReservations) reservation.resize(0);
      unsentReservations.clear();
    });
    // The `close` event that follows cancels the client's requests.
    socket.on("error", ({ message }) => {
      log("client-connection-failed", { message });
    });
  }

  return {
    accept,
    sweep() {
      const now = steadyTime();
      for (const client of clients) client.sweep(now);
    },
    drain() {
      draining = true;
    },
    closeIdle() {
      for (const client of clients) client.closeIfIdle();
    },
    size: () => clients.size,
    unsent: () => unsentReplies,
  };
}

function noop(): void {}
