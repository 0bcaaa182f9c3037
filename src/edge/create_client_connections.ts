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

// Requests of one connection that run at once; the client's next bytes wait.
const MOST_PIPELINED = 32;
// A closed connection is dropped this long after all was sent.
const LINGER_MS = 2_000;
// A client that doesn't read its last reply is given up after this time.
const UNREAD_MS = 30_000;
// A body that takes longer outlives the deadlines of its clients.
const BODY_TIMEOUT_MS = 60_000;
// Time after which clients that found no room return.
const NO_ROOM_RETRY_MS = 500;
const CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";

type Limits = MessageLimits & { headTimeoutMs: number; idleTimeoutMs: number };

/** A request and, once there is one, its reply. */
type Slot = {
  request: OriginRequest | null;
  reply: { head: string; body: Buffer } | Reply | null;
  /** Nothing is read behind this request. */
  last: boolean;
  /** Holds the body of the request and then that of the reply. */
  hold: ByteReservation;
  cancel: () => void;
};

type Client = {
  slots: Slot[];
  /** Steady time of the last byte read or reply written, in ms. */
  activeAt: number;
  /** The unfinished part of a request, and since when it is unfinished. */
  unfinished: { part: "head" | "body"; since: number } | null;
  sweep(now: number): void;
  closeIfIdle(): void;
};

/** Serves clients: any number of requests a connection, replies in order. */
export function createClientConnections(
  { origin, protocol, limits, budget, steadyTime, log }: {
    origin: Origin;
    protocol: ClientProtocol;
    limits: () => Limits;
    /** Holds what was read of clients, and replies that they haven't read. */
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
        if (client.slots.length === 0 && reader.partial() === "none") hangUp();
      },
    };
    clients.add(client);
    socket.setNoDelay(true);
    let gone = false;
    let reading = true;
    let discardedBytes = 0;
    // Written, and not yet taken by the connection.
    const unsent = new Set<ByteReservation>();

    /**
     * Reads nothing more, so that a request which crosses the close isn't
     * passed on, and leaves the client time to read what was written.
     */
    const hangUp = () => {
      reading = false;
      reader.close();
      const close = () => socket.destroy();
      const unread = setTimeout(close, UNREAD_MS).unref();
      socket.end(() => {
        clearTimeout(unread);
        setTimeout(close, LINGER_MS).unref();
      });
    };
    const flush = () => {
      while (!gone && client.slots.length > 0) {
        const slot = client.slots[0]!;
        if (slot.reply === null) return;
        client.slots.shift();
        const close = slot.last ||
          (draining && client.slots.length === 0 &&
            reader.partial() === "none");
        const { head, body } = "head" in slot.reply
          ? slot.reply
          : protocol.formatReply(slot.reply, slot.request!, close);
        unsent.add(slot.hold);
        unsentReplies++;
        writeMessage(socket, head, body, () => {
          unsentReplies--;
          unsent.delete(slot.hold);
          slot.hold.resize(0);
        });
        client.activeAt = steadyTime();
        if (close) hangUp();
        else if (client.slots.length === MOST_PIPELINED - 1) socket.resume();
      }
    };
    const settle = (slot: Slot, reply: Reply) => {
      const bytes = "body" in reply ? reply.body.length : 0;
      if (slot.hold.resize(bytes)) slot.reply = reply;
      else {
        slot.hold.resize(0);
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
        hold: createByteReservation(budget),
        cancel: ignore,
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
          hold: createByteReservation(budget),
          cancel: ignore,
        };
        client.slots.push(slot);
        reading = message.persistent;
        if (client.slots.length >= MOST_PIPELINED) socket.pause();
        if (!slot.hold.resize(request.body.length)) {
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
        if (partial === "none") hangUp();
        else socket.destroy();
      }
    }
    const leave = () => {
      if (gone) return;
      gone = true;
      clients.delete(client);
      reader.close();
      for (const { reply, hold, cancel } of client.slots.splice(0)) {
        hold.resize(0);
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
      // The rest of a request that was refused is all that a client may send.
      const { headBytes, bodyBytes } = limits();
      if (discardedBytes > headBytes + bodyBytes) socket.pause();
    });
    socket.on("end", leave);
    socket.on("close", () => {
      leave();
      for (const hold of unsent) hold.resize(0);
      unsent.clear();
    });
    // The close that follows an error ends the client's requests.
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

function ignore(): void {}
