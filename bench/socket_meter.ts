// Loaded into a daemon by bench/control_cost.ts: counts the bytes of control
// and platform connections, and prints the counts on SIGUSR2. Connections to
// the local listener are left out; they carry the bench's own questions.
import { Server, Socket } from "node:net";
import process from "node:process";
import { Ports } from "../fleet/ports.ts";

const counts = {
  sentBytes: 0,
  receivedBytes: 0,
  writes: 0,
  connections: 0,
};
const open = new Map<Socket, { read: number; written: number }>();

function settle(socket: Socket): void {
  const seen = open.get(socket)!;
  const { bytesRead, bytesWritten } = socket;
  counts.receivedBytes += bytesRead - seen.read;
  counts.sentBytes += bytesWritten - seen.written;
  open.set(socket, { read: bytesRead, written: bytesWritten });
}

function follow(socket: Socket): void {
  counts.connections += 1;
  open.set(socket, { read: 0, written: 0 });
  socket.on("close", () => {
    settle(socket);
    open.delete(socket);
  });
}

const { connect, write } = Socket.prototype;
Socket.prototype.connect = function (this: Socket, ...parts: unknown[]) {
  follow(this);
  return Reflect.apply(connect, this, parts);
} as typeof connect;
Socket.prototype.write = function (this: Socket, ...parts: unknown[]) {
  if (open.has(this)) counts.writes += 1;
  return Reflect.apply(write, this, parts);
} as typeof write;

const { emit } = Server.prototype;
Server.prototype.emit = function (event: string, ...parts: unknown[]) {
  const [socket] = parts;
  if (
    event === "connection" && socket instanceof Socket &&
    socket.localPort !== Ports.local
  ) follow(socket);
  return Reflect.apply(emit, this, [event, ...parts]);
};

process.on("SIGUSR2", () => {
  for (const socket of open.keys()) settle(socket);
  console.log(`meter=${JSON.stringify(counts)}`);
});
