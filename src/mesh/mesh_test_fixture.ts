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

type Over = Partial<Parameters<typeof createMesh>[0]>;

/** One line of a mesh's log. */
type Line = { event: string; from?: string; reason?: string };

// Test files run at once, also those of several checkouts: each process has a
// port and loopback addresses of its own.
const PORT = 10_000 + process.pid % 20_000;

/** Meshes on loopback addresses and bare connections to them. */
export const meshTestFixture = {
  port: PORT,

  /** A loopback address that no other test has. */
  nextHost: () =>
    `127.${140 + process.pid % 100}.${process.pid % 250}.${++hosts}`,

  /** The entry of a daemon of an earlier version. */
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

  /** Starts a mesh whose time is what `clock.now` says. */
  start(host: string, over: Over = {}) {
    const clock = { now: 0 };
    const lines: Line[] = [];
    const mesh: Mesh = createMesh({
      host,
      port: PORT,
      ownEntry: () => ({ ...meshTestFixture.entry(host), takesPieces: true }),
      steadyTime: () => clock.now,
      metrics: createMetrics(),
      log: (event, fields) => lines.push({ event, ...fields } as Line),
      budget: createByteBudget(Infinity),
      serve: () => () => {},
      configuration: () => null,
      onConfig: () => {},
      onConfigConfirmed: () => {},
      onDeparted: () => {},
      onLinkTimeout: () => {},
      random: () => 0,
      ...over,
    });
    /** Lets time pass as the daemon's ticker does. */
    const pass = (ms: number) => {
      for (let left = ms; left > 0; left -= TICK_MS) {
        clock.now += TICK_MS;
        mesh.tick();
      }
    };
    return { mesh, clock, lines, pass };
  },

  /** Listens as a daemon that introduces itself and does nothing else. */
  async listen(host: string, over: Partial<DaemonEntry> = {}): Promise<Socket> {
    const server = createServer().listen(PORT, host);
    await once(server, "listening");
    return new Promise((resolve) => {
      server.once("connection", (socket: Socket) => {
        socket.on("error", () => {});
        write(socket, ["entry", { ...meshTestFixture.entry(host), ...over }]);
        resolve(socket);
      });
    });
  },

  /** A call with a body of this size. */
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

  /** Starts a mesh and links it to another mesh or bare listener. */
  async link(to: string, over: Over = {}) {
    const started = meshTestFixture.start(meshTestFixture.nextHost(), over);
    const address = `${to}:${PORT}`;
    started.mesh.addPeer(address);
    const peer = started.mesh.peers.get(address)!;
    await until("introduced", () => peer.entry !== null);
    return { ...started, peer };
  },

  /** Opens a bare connection and collects the messages that come in on it. */
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
      send: (...sent: Message[]) => sent.forEach((one) => write(socket, one)),
    };
  },
};

let hosts = 0;
const TICK_MS = 100;
const LENGTH_BYTES = 4;

function write(socket: Socket, message: Message): void {
  const payload = messageCodec.pack(message);
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(payload.length);
  socket.write(Buffer.concat([length, payload]));
}
