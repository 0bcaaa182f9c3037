// Preloaded into a daemon to inject network faults. It polls the file SETTINGS.faults,
// where SETTINGS is the daemon's settings file: `control` drops control messages in
// both directions, and `hosts` lists prefixes of addresses that are unreachable.
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { Server as HttpServer } from "node:http";
import { Socket } from "node:net";
import process from "node:process";

type Faults = { control?: boolean; hosts?: string[] };
type Connection = Socket & { host?: string };

const POLL_MS = 20;
const file = `${process.argv.at(-1)}.faults`;
const open = new Set<Connection>();
let text = "{}";
let faults: Faults = {};

function isBlocked(host: string | undefined): boolean {
  return faults.hosts?.some((prefix) => host?.startsWith(prefix)) === true;
}

function check(): void {
  const next = existsSync(file) ? readFileSync(file, "utf8") : "{}";
  if (next === text) return;
  text = next;
  faults = JSON.parse(text);
  for (const socket of open) if (isBlocked(socket.host)) socket.destroy();
  writeFileSync(`${file}.seen`, text);
}

const { connect, write } = Socket.prototype;
Socket.prototype.connect = function (this: Connection, ...args: unknown[]) {
  const [options] = args.flat() as { host?: string }[];
  this.host = options?.host;
  open.add(this);
  this.once("close", () => open.delete(this));
  if (!isBlocked(this.host)) {
    return (connect as (...args: unknown[]) => Socket).apply(this, args);
  }
  process.nextTick(() => this.destroy(new Error("Address is blocked")));
  return this;
} as typeof connect;

Socket.prototype.write = function (this: Connection, ...args: unknown[]) {
  const isControl = typeof args[0] === "string" &&
    args[0].startsWith("POST /-/rpc/");
  if (faults.control && isControl) {
    this.destroy(new Error("Control message is dropped"));
    return false;
  }
  return (write as (...args: unknown[]) => boolean).apply(this, args);
} as typeof write;

const { emit } = HttpServer.prototype;
HttpServer.prototype.emit = function (event: string, ...args: unknown[]) {
  const [request] = args as { url?: string; socket?: Socket }[];
  const isControl = event === "request" &&
    request?.url?.startsWith("/-/rpc/") === true;
  if (faults.control && isControl) {
    request.socket?.destroy();
    return true;
  }
  return Reflect.apply(emit, this, [event, ...args]);
};

// Applies the initial faults before the program runs and opens connections.
check();
setInterval(check, POLL_MS).unref();
