import test from "ava";
import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { until } from "../../test/until.ts";
import { createByteBudget } from "../core/create_byte_budget.ts";
import type { OriginRequest } from "../origin/origin_request.ts";
import type { Reply } from "../origin/reply.ts";
import type { ClientProtocol } from "./client_protocol.ts";
import { createClientConnections } from "./create_client_connections.ts";

const protocol: ClientProtocol = {
  readRequest: ({ startLine, body }) =>
    startLine.startsWith("GET ")
      ? {
        id: startLine,
        host: "h",
        method: "GET",
        target: startLine.split(" ")[1]!,
        fields: [],
        body,
        deadlineMs: null,
      }
      : null,
  formatReply: (reply, { target }, close) => ({
    head: `${target} ${reply.kind}${close ? " close" : ""}\n`,
    body: "body" in reply ? reply.body : Buffer.alloc(0),
  }),
  formatFault: (fault) => `${fault} close\n`,
};
const LIMITS = {
  headBytes: 1_000,
  bodyBytes: 1_000,
  headTimeoutMs: 50,
  idleTimeoutMs: 1_000,
};

type Started = {
  request: OriginRequest;
  reply: (reply: Reply) => void;
  cancelled: boolean;
};

async function open(budget = createByteBudget(10_000)) {
  const started: Started[] = [];
  let now = 0;
  const connections = createClientConnections({
    protocol,
    limits: () => LIMITS,
    budget,
    steadyTime: () => now,
    log: () => {},
    origin: {
      start(request, onReply) {
        const one: Started = { request, reply: onReply, cancelled: false };
        started.push(one);
        return () => {
          one.cancelled = true;
        };
      },
      tick() {},
      limit() {},
      failOpenRequests() {},
      open: () => ({ clients: 0, nested: 0, oldest: null }),
    },
  });
  let accepted: Socket | null = null;
  const server = createServer((socket) => {
    accepted = socket;
    connections.accept(socket);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const client = connect((server.address() as AddressInfo).port, "127.0.0.1");
  let text = "";
  client.setEncoding("utf8").on("data", (chunk) => text += chunk);
  client.on("error", () => {});
  await once(client, "connect");
  return {
    client,
    connections,
    started,
    server,
    text: () => text,
    accepted: () => accepted!,
    pass: (ms: number) => now += ms,
    /** Waits until so many requests have started. */
    begun: (count: number) => until("started", () => started.length >= count),
  };
}

const request = (path: string) => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`;
const withBody = (path: string, bytes: number) =>
  `GET ${path} HTTP/1.1\r\nHost: h\r\nContent-Length: ${bytes}\r\n\r\n${
    "a".repeat(bytes)
  }`;
const settled = () => new Promise((resolve) => setTimeout(resolve, 50));
const answer: Reply = {
  kind: "answer",
  status: 200,
  fields: [],
  body: Buffer.alloc(0),
};

test("replies keep the order of the requests", async (t) => {
  const { client, started, server, text, begun } = await open();
  client.write(request("/a") + request("/b") + request("/c"));
  await begun(3);
  for (const at of [2, 0, 1]) started[at]!.reply(answer);
  await until("answered", () => text().includes("/c"));
  t.is(text(), "/a answer\n/b answer\n/c answer\n");
  client.destroy();
  server.close();
});

test("a client that leaves cancels its requests", async (t) => {
  const { client, started, server, begun } = await open();
  client.write(request("/a") + request("/b"));
  await begun(2);
  started[0]!.reply(answer);
  client.destroy();
  await until("cancelled", () => started.some(({ cancelled }) => cancelled));
  t.deepEqual(started.map(({ cancelled }) => cancelled), [false, true]);
  server.close();
});

test("while draining, the last reply closes the connection", async (t) => {
  const { client, connections, started, server, text, begun } = await open();
  client.write(request("/a") + request("/b"));
  await begun(2);
  connections.drain();
  started[0]!.reply(answer);
  started[1]!.reply(answer);
  await once(client, "close");
  t.is(text(), "/a answer\n/b answer close\n");
  server.close();
});

test("a request that crosses the close isn't started", async (t) => {
  const { client, connections, started, server } = await open();
  await settled();
  connections.closeIdle();
  client.write(request("/a"));
  await settled();
  t.deepEqual(started, []);
  client.destroy();
  server.close();
});

test("a slow head is given up, an unfinished one doesn't start", async (t) => {
  const { client, connections, started, server, text, pass } = await open();
  client.write("GET /a HTTP/1.1\r\nHost");
  await settled();
  connections.sweep();
  pass(51);
  connections.sweep();
  await once(client, "close");
  t.is(text(), "head-timeout close\n");
  t.deepEqual(started, []);
  server.close();
});

test("bytes that are no request are answered behind the replies owed", async (t) => {
  const { client, started, server, text, begun } = await open();
  client.write(`${request("/a")}no request\r\n\r\n${request("/b")}`);
  await begun(1);
  t.is(started.length, 1);
  t.is(text(), "");
  started[0]!.reply(answer);
  await once(client, "close");
  t.is(text(), "/a answer\nmalformed close\n");
  server.close();
});

const CHUNKED = "GET /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
const ENDLESS: Record<string, { first: string; unit: string; fault: string }> =
  {
    "blank lines": { first: "", unit: "\r\n", fault: "head-too-large" },
    "small chunks": {
      first: CHUNKED,
      unit: `1;${"x".repeat(200)}\r\na\r\n`,
      fault: "framing-too-large",
    },
    "trailers": {
      first: `${CHUNKED}0\r\n`,
      unit: "X: y\r\n",
      fault: "head-too-large",
    },
  };
// What the buffers of a connection hold.
const UNREAD_BYTES = 12_000_000;
for (const [name, { first, unit, fault }] of Object.entries(ENDLESS)) {
  test(`${name} without end are refused and not read on`, async (t) => {
    const budget = createByteBudget(10_000);
    const { client, started, server, text } = await open(budget);
    const chunk = unit.repeat(1_000);
    client.write(first);
    const write = () => {
      if (client.destroyed || client.bytesWritten > 4 * UNREAD_BYTES) return;
      if (client.write(chunk)) setImmediate(write);
      else client.once("drain", write);
    };
    write();
    await once(client, "end");
    t.is(text(), `${fault} close\n`);
    t.deepEqual(started, []);
    await new Promise((resolve) => setTimeout(resolve, 500));
    t.true(client.bytesWritten < UNREAD_BYTES, `${client.bytesWritten} bytes`);
    t.is(budget.reserved(), 0);
    client.destroy();
    server.close();
  });
}

test("bytes behind the last request aren't read without end", async (t) => {
  const { client, started, server } = await open();
  client.write("GET /a HTTP/1.1\r\nConnection: close\r\n\r\n");
  const chunk = "a".repeat(10_000);
  const write = () => {
    if (client.destroyed || client.bytesWritten > 4 * UNREAD_BYTES) return;
    if (client.write(chunk)) setImmediate(write);
    else client.once("drain", write);
  };
  write();
  await new Promise((resolve) => setTimeout(resolve, 500));
  t.is(started.length, 1);
  t.true(client.bytesWritten < UNREAD_BYTES, `${client.bytesWritten} bytes`);
  client.destroy();
  server.close();
});

test("a whole request that finds no room is refused, the next is served", async (t) => {
  const budget = createByteBudget(1_200);
  const { client, started, server, text, begun } = await open(budget);
  client.write(withBody("/a", 600));
  await begun(1);
  client.write(withBody("/b", 590) + request("/c"));
  await begun(2);
  t.deepEqual(started.map(({ request }) => request.target), ["/a", "/c"]);
  started[1]!.reply(answer);
  started[0]!.reply(answer);
  await until("answered", () => text().includes("/c"));
  t.is(text(), "/a answer\n/b refusal\n/c answer\n");
  t.is(budget.reserved(), 0);
  client.destroy();
  server.close();
});

test("an unfinished request that finds no room is refused", async (t) => {
  const budget = createByteBudget(1_000);
  budget.reserve(900);
  const { client, started, server, text } = await open(budget);
  client.write(withBody("/a", 400).slice(0, -1));
  await once(client, "end");
  t.is(text(), "no-room close\n");
  t.deepEqual(started, []);
  t.is(budget.reserved(), 900);
  client.destroy();
  server.close();
});

test("replies are held until they are sent, one without room fails", async (t) => {
  // More than the buffers of a connection take.
  const bytes = 30_000_000;
  const budget = createByteBudget(2 * bytes);
  const { client, started, server, text, begun } = await open(budget);
  client.pause();
  client.write(request("/a") + request("/b"));
  await begun(2);
  for (const { reply } of started) {
    reply({ ...answer, body: Buffer.alloc(bytes, "a") });
  }
  await settled();
  t.is(budget.reserved(), bytes);
  client.resume();
  while (!text().endsWith("/b failure\n")) await settled();
  t.is(text().length, "/a answer\n".length + bytes + "/b failure\n".length);
  t.is(budget.reserved(), 0);
  client.destroy();
  server.close();
});

// The linger of a closed connection began before the reply was sent.
test("a slow reader's reply is cut off where the connection closes", async (t) => {
  const bytes = 30_000_000;
  const opened = await open(createByteBudget(2 * bytes));
  const { client, connections, started, server, text, begun } = opened;
  client.pause();
  client.write(request("/a"));
  await begun(1);
  connections.drain();
  started[0]!.reply({ ...answer, body: Buffer.alloc(bytes, "a") });
  await settled();
  t.is(connections.unsent(), 1);
  await new Promise((resolve) => setTimeout(resolve, 2_500));
  const ended = once(client, "end");
  client.resume();
  await ended;
  t.is(text().length, "/a answer close\n".length + bytes);
  t.is(connections.unsent(), 0);
  server.close();
});

test("a client that leaves gives back what was held for it", async (t) => {
  const bytes = 30_000_000;
  const budget = createByteBudget(3 * bytes);
  const { client, started, server, begun } = await open(budget);
  client.pause();
  client.write(request("/a") + withBody("/b", 900) + withBody("/c", 800));
  client.write(withBody("/d", 500).slice(0, -1));
  await begun(3);
  started[0]!.reply({ ...answer, body: Buffer.alloc(bytes) });
  const held = bytes + 900 + 800 + 499;
  await until("held", () => budget.reserved() === held);
  t.is(budget.reserved(), held);
  client.resetAndDestroy();
  await until("given back", () => budget.reserved() === 0);
  t.is(budget.reserved(), 0);
  server.close();
});

test("a slow body is given up", async (t) => {
  const { client, connections, started, server, text, pass } = await open();
  client.write(withBody("/a", 100).slice(0, -1));
  await settled();
  // Bodies of their own don't add up.
  for (let i = 0; i < 3; i++) {
    connections.sweep();
    pass(59_000);
    client.write(`a${withBody("/a", 100).slice(0, -1)}`);
    await settled();
    connections.sweep();
  }
  t.is(started.length, 3);
  for (const { reply } of started) reply(answer);
  pass(60_001);
  connections.sweep();
  await once(client, "end");
  t.true(text().endsWith("body-timeout close\n"));
  t.is(started.length, 3);
  client.destroy();
  server.close();
});
