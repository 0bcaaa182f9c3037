import type { Socket } from "node:net";
import type { ByteBudget } from "../core/byte_budget.ts";
import type { Logger } from "../core/logger.ts";
import { createMessageReader } from "../http1/create_message_reader.ts";
import type { MessageLimits } from "../http1/message_limits.ts";
import type { ReadFault } from "../http1/read_fault.ts";
import { requestFraming } from "../http1/request_framing.ts";
import { writeMessage } from "../http1/write_message.ts";
import type { Origin } from "../origin/origin.ts";
import type { OriginRequest } from "../origin/origin_request.ts";
import type { Reply } from "../origin/reply.ts";
import type { ClientConnections } from "./client_connections.ts";
import type { ClientProtocol } from "./client_protocol.ts";

// Requests of one connection that run at once; the client's next bytes wait.
const MOST_PIPELINED = 32;
// A closed connection is dropped after this time.
const LINGER_MS = 2_000;
const CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";

type Limits = MessageLimits & { headTimeoutMs: number; idleTimeoutMs: number };

/** A request and, once there is one, its reply. */
type Slot = {
  request: OriginRequest | null;
  reply: { head: string; body: Buffer } | Reply | null;
  /** Nothing is read behind this request. */
  last: boolean;
  cancel: () => void;
};

type Client = {
  slots: Slot[];
  /** Steady time of the last byte read or reply written, in ms. */
  activeAt: number;
  /** Steady time of the first byte of an unfinished head, in ms. */
  headSince: number | null;
  sweep(now: number): void;
  closeIfIdle(): void;
};

/** Serves clients: any number of requests a connection, replies in order. */
export function createClientConnections(
  { origin, protocol, limits, budget, steadyTime, log }: {
    origin: Origin;
    protocol: ClientProtocol;
    limits: () => Limits;
    /** Holds what was read of unfinished requests. */
    budget: ByteBudget;
    steadyTime: () => number;
    log: Logger;
  },
): ClientConnections {
  const clients = new Set<Client>();
  let draining = false;

  function accept(socket: Socket): void {
    const client: Client = {
      slots: [],
      activeAt: steadyTime(),
      headSince: null,
      sweep,
      closeIfIdle() {
        if (client.slots.length === 0 && reader.partial() === "none") hangUp();
      },
    };
    clients.add(client);
    socket.setNoDelay(true);
    let gone = false;
    let reading = true;

    /**
     * Reads nothing more, so that a request which crosses the close isn't
     * passed on, and leaves the client time to read what was written.
     */
    const hangUp = () => {
      reading = false;
      reader.close();
      socket.end();
      setTimeout(() => socket.destroy(), LINGER_MS).unref();
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
        writeMessage(socket, head, body);
        client.activeAt = steadyTime();
        if (close) hangUp();
        else if (client.slots.length === MOST_PIPELINED - 1) socket.resume();
      }
    };
    const reject = (fault: ReadFault | "head-timeout") => {
      log("connection-rejected", { fault, peer: socket.remoteAddress });
      reading = false;
      reader.close();
      const head = protocol.formatFault(fault);
      client.slots.push({
        request: null,
        reply: { head, body: Buffer.alloc(0) },
        last: true,
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
        const request = protocol.readRequest(message);
        if (request === null) {
          reject("malformed");
          return;
        }
        const slot: Slot = {
          request,
          reply: null,
          last: !message.persistent,
          cancel: ignore,
        };
        client.slots.push(slot);
        reading = message.persistent;
        if (client.slots.length >= MOST_PIPELINED) socket.pause();
        slot.cancel = origin.start(request, (reply) => {
          slot.reply = reply;
          flush();
        });
      },
    });
    function sweep(now: number) {
      const { headTimeoutMs, idleTimeoutMs } = limits();
      const partial = reader.partial();
      if (partial !== "head") client.headSince = null;
      else client.headSince ??= now;
      if (client.headSince !== null && now - client.headSince > headTimeoutMs) {
        client.headSince = null;
        reject("head-timeout");
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
      for (const { reply, cancel } of client.slots.splice(0)) {
        if (reply === null) cancel();
      }
    };
    socket.on("data", (chunk: Buffer) => {
      client.activeAt = steadyTime();
      if (reading) reader.push(chunk);
    });
    socket.on("end", leave);
    socket.on("close", leave);
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
  };
}

function ignore(): void {}
