// Loaded into a daemon before its program. The file named by the settings file
// with `.faults` appended says what is cut: `control` drops control messages in
// both directions, `hosts` are prefixes of addresses that are not reached.
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { Server as HttpServer } from "node:http";
import { Socket } from "node:net";
import process from "node:process";

type Faults = { control?: boolean; hosts?: string[] };
type Connection = Socket & { host?: string };

const CHECK_MS = 20;
const file = `${process.argv.at(-1)}.faults`;
const open = new Set<Connection>();
let text = "{}";
let faults: Faults = {};

function isBlocked(host: string | undefined): boolean {
  return faults.hosts?.some((each) => host?.startsWith(each)) === true;
}

function check(): void {
  const next = existsSync(file) ? readFileSync(file, "utf8") : "{}";
  if (next === text) return;
  text = next;
  faults = JSON.parse(text);
  for (const each of open) if (isBlocked(each.host)) each.destroy();
  writeFileSync(`${file}.seen`, text);
}

const { connect, write } = Socket.prototype;
Socket.prototype.connect = function (this: Connection, ...parts: unknown[]) {
  const [options] = parts.flat() as { host?: string }[];
  this.host = options?.host;
  open.add(this);
  this.once("close", () => open.delete(this));
  if (!isBlocked(this.host)) {
    return (connect as (...parts: unknown[]) => Socket).apply(this, parts);
  }
  process.nextTick(() => this.destroy(new Error("Address is blocked")));
  return this;
} as typeof connect;

Socket.prototype.write = function (this: Connection, ...parts: unknown[]) {
  const isControl = typeof parts[0] === "string" &&
    parts[0].startsWith("POST /-/rpc/");
  if (faults.control && isControl) {
    this.destroy(new Error("Control message is dropped"));
    return false;
  }
  return (write as (...parts: unknown[]) => boolean).apply(this, parts);
} as typeof write;

const { emit } = HttpServer.prototype;
HttpServer.prototype.emit = function (event: string, ...parts: unknown[]) {
  const [request] = parts as { url?: string; socket?: Socket }[];
  const isControl = event === "request" &&
    request?.url?.startsWith("/-/rpc/") === true;
  if (faults.control && isControl) {
    request.socket?.destroy();
    return true;
  }
  return Reflect.apply(emit, this, [event, ...parts]);
};

// Before the program runs, which would reach what is cut from the start.
check();
setInterval(check, CHECK_MS).unref();
