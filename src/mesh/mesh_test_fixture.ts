import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";
import process from "node:process";
import { until } from "../../test/until.ts";
import type { CallRequest } from "../calls/call_request.ts";
import { createByteBudget } from "../core/create_byte_budget.ts";
import type { Mesh } from "./mesh.ts";
import { createMesh } from "./create_mesh.ts";
import { createFrameReader } from "./create_frame_reader.ts";
import { createMetrics } from "../metrics/create_metrics.ts";
import type { DaemonEntry } from "./daemon_entry.ts";
import type { Message } from "./message.ts";
import { messageCodec } from "./message_codec.ts";

type Overrides = Partial<Parameters<typeof createMesh>[0]>;

/** A log record of a mesh. */
type LogLine = { event: string; from?: string; reason?: string };

// Test files run concurrently, also those of several checkouts, so each process
// uses its own port and loopback addresses.
const PORT = 10_000 + process.pid % 20_000;

/** Meshes on loopback addresses, and raw connections to them. */
export const meshTestFixture = {
  port: PORT,

  /** Returns a loopback address that no other test uses. */
  nextHost: () =>
    `127.${140 + process.pid % 100}.${process.pid % 250}.${++hostCount}`,

  /** Entry of a daemon of an earlier version, without support for pieces. */
  entry: (host: string): DaemonEntry => ({
    name: host,
    address: `${host}:${PORT}`,
    dataCentre: "a",
    service: "s",
    server: {
      id: `i-${host}`,
      slots: 8,
      leaving: false,
      signedOff: false,
      startedAt: 0,
      cold: false,
    },
    routeVersion: 0,
    storeReachable: true,
    takesPieces: false,
    alone: false,
  }),

  /** Starts a mesh that uses `clock` as its time source. */
  start(host: string, overrides: Overrides = {}) {
    // `reads` counts how often the mesh took the time.
    const clock = { now: 0, reads: 0 };
    const lines: LogLine[] = [];
    const mesh: Mesh = createMesh({
      host,
      port: PORT,
      ownEntry: () => ({ ...meshTestFixture.entry(host), takesPieces: true }),
      steadyTime() {
        clock.reads++;
        return clock.now;
      },
      metrics: createMetrics(),
      log: (event, fields) => lines.push({ event, ...fields } as LogLine),
      budget: createByteBudget(Infinity),
      serve: () => () => {},
      configuration: () => null,
      onConfig: () => {},
      onConfigConfirmed: () => {},
      onDeparted: () => {},
      onLinkTimeout: () => {},
      random: () => 0,
      ...overrides,
    });
    /** Advances the clock in the steps of the daemon's ticker. */
    const advance = (ms: number) => {
      for (let remainingMs = ms; remainingMs > 0; remainingMs -= TICK_MS) {
        clock.now += TICK_MS;
        mesh.tick();
      }
    };
    return { mesh, clock, lines, advance };
  },

  /** Accepts one connection, as a daemon that sends nothing but its entry. */
  async listen(
    host: string,
    overrides: Partial<DaemonEntry> = {},
  ): Promise<Socket> {
    const server = createServer().listen(PORT, host);
    await once(server, "listening");
    return new Promise((resolve) => {
      server.once("connection", (socket: Socket) => {
        socket.on("error", () => {});
        write(socket, ["entry", {
          ...meshTestFixture.entry(host),
          ...overrides,
        }]);
        resolve(socket);
      });
    });
  },

  /** A call with a body of `bytes` zero bytes. */
  request: (bytes: number): CallRequest => ({
    id: "q",
    method: "GET",
    target: "/",
    fields: [],
    body: Buffer.alloc(bytes),
    route: "r",
    serverId: "i",
    caller: "s",
    nested: false,
    rank: 0,
    repeatable: true,
    repeatedShare: 0,
    expiresAt: 10_000,
  }),

  /** Starts a mesh and links it to the mesh or raw listener at `to`. */
  async link(to: string, overrides: Overrides = {}) {
    const started = meshTestFixture.start(
      meshTestFixture.nextHost(),
      overrides,
    );
    const address = `${to}:${PORT}`;
    started.mesh.addPeer(address);
    const peer = started.mesh.peers.get(address)!;
    await until("handshake complete", () => peer.entry !== null);
    return { ...started, peer };
  },

  /** Sends a message, valid or not, over a raw connection. */
  send: (socket: Socket, message: unknown) => write(socket, message),

  /** Opens a raw connection and collects the messages received on it. */
  async connect(host: string) {
    const socket = connect(PORT, host);
    socket.on("error", () => {});
    await once(socket, "connect");
    const messages: Message[] = [];
    const read = createFrameReader(() => Infinity, (frame) => {
      messages.push(messageCodec.unpack(frame));
    });
    socket.on("data", read);
    return {
      socket,
      messages,
      send: (...sent: Message[]) =>
        sent.forEach((message) => write(socket, message)),
    };
  },
};

let hostCount = 0;
const TICK_MS = 100;
const LENGTH_BYTES = 4;

function write(socket: Socket, message: unknown): void {
  const payload = messageCodec.pack(message);
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(payload.length);
  socket.write(Buffer.concat([length, payload]));
}
