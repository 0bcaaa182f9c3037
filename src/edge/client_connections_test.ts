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

type StartedRequest = {
  request: OriginRequest;
  reply: (reply: Reply) => void;
  cancelled: boolean;
};

async function openConnection(budget = createByteBudget(10_000)) {
  const started: StartedRequest[] = [];
  let now = 0;
  const connections = createClientConnections({
    protocol,
    limits: () => LIMITS,
    budget,
    steadyTime: () => now,
    log: () => {},
    origin: {
      start(request, onReply) {
        const call: StartedRequest = {
          request,
          reply: onReply,
          cancelled: false,
        };
        started.push(call);
        return () => {
          call.cancelled = true;
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
    advance: (ms: number) => now += ms,
    /** Waits until this many requests have started. */
    untilStarted: (count: number) =>
      until("started", () => started.length >= count),
  };
}

const request = (path: string) => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`;
const requestWithBody = (path: string, bytes: number) =>
  `GET ${path} HTTP/1.1\r\nHost: h\r\nContent-Length: ${bytes}\r\n\r\n${
    "a".repeat(bytes)
  }`;
const delay = () => new Promise((resolve) => setTimeout(resolve, 50));
const emptyAnswer: Reply = {
  kind: "answer",
  status: 200,
  fields: [],
  body: Buffer.alloc(0),
};

test("replies keep the order of the requests", async (t) => {
  const { client, started, server, text, untilStarted } =
    await openConnection();
  client.write(request("/a") + request("/b") + request("/c"));
  await untilStarted(3);
  for (const at of [2, 0, 1]) started[at]!.reply(emptyAnswer);
  await until("answered", () => text().includes("/c"));
  t.is(text(), "/a answer\n/b answer\n/c answer\n");
  client.destroy();
  server.close();
});

test("a disconnect of the client cancels its requests", async (t) => {
  const { client, started, server, untilStarted } = await openConnection();
  client.write(request("/a") + request("/b"));
  await untilStarted(2);
  started[0]!.reply(emptyAnswer);
  client.destroy();
  await until("cancelled", () => started.some(({ cancelled }) => cancelled));
  t.deepEqual(started.map(({ cancelled }) => cancelled), [false, true]);
  server.close();
});

test("while draining, the last reply closes the connection", async (t) => {
  const { client, connections, started, server, text, untilStarted } =
    await openConnection();
  client.write(request("/a") + request("/b"));
  await untilStarted(2);
  connections.drain();
  started[0]!.reply(emptyAnswer);
  started[1]!.reply(emptyAnswer);
  await once(client, "close");
  t.is(text(), "/a answer\n/b answer close\n");
  server.close();
});

test("a request that arrives during the close is not started", async (t) => {
  const { client, connections, started, server } = await openConnection();
  await delay();
  connections.closeIdle();
  client.write(request("/a"));
  await delay();
  t.deepEqual(started, []);
  client.destroy();
  server.close();
});

test("a request head that times out is rejected and not started", async (t) => {
  const { client, connections, started, server, text, advance } =
    await openConnection();
  client.write("GET /a HTTP/1.1\r\nHost");
  await delay();
  connections.sweep();
  advance(51);
  connections.sweep();
  await once(client, "close");
  t.is(text(), "head-timeout close\n");
  t.deepEqual(started, []);
  server.close();
});

test("a malformed request is rejected after the pending replies", async (t) => {
  const { client, started, server, text, untilStarted } =
    await openConnection();
  client.write(`${request("/a")}no request\r\n\r\n${request("/b")}`);
  await untilStarted(1);
  t.is(started.length, 1);
  t.is(text(), "");
  started[0]!.reply(emptyAnswer);
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
// Upper bound of what the socket buffers of a connection hold.
const BUFFERED_BYTES = 12_000_000;
for (const [name, { first, unit, fault }] of Object.entries(ENDLESS)) {
  test(`endless ${name} are rejected and no longer read`, async (t) => {
    const budget = createByteBudget(10_000);
    const { client, started, server, text } = await openConnection(budget);
    const chunk = unit.repeat(1_000);
    client.write(first);
    const write = () => {
      if (client.destroyed || client.bytesWritten > 4 * BUFFERED_BYTES) return;
      if (client.write(chunk)) setImmediate(write);
      else client.once("drain", write);
    };
    write();
    await once(client, "end");
    t.is(text(), `${fault} close\n`);
    t.deepEqual(started, []);
    await new Promise((resolve) => setTimeout(resolve, 500));
    t.true(
      client.bytesWritten < BUFFERED_BYTES,
      `${client.bytesWritten} bytes`,
    );
    t.is(budget.reserved(), 0);
    client.destroy();
    server.close();
  });
}

test("endless bytes after the last request are no longer read", async (t) => {
  const { client, started, server } = await openConnection();
  client.write("GET /a HTTP/1.1\r\nConnection: close\r\n\r\n");
  const chunk = "a".repeat(10_000);
  const write = () => {
    if (client.destroyed || client.bytesWritten > 4 * BUFFERED_BYTES) return;
    if (client.write(chunk)) setImmediate(write);
    else client.once("drain", write);
  };
  write();
  await new Promise((resolve) => setTimeout(resolve, 500));
  t.is(started.length, 1);
  t.true(
    client.bytesWritten < BUFFERED_BYTES,
    `${client.bytesWritten} bytes`,
  );
  client.destroy();
  server.close();
});

test("a request that exceeds the memory budget is rejected, the next is served", async (t) => {
  const budget = createByteBudget(1_200);
  const { client, started, server, text, untilStarted } = await openConnection(
    budget,
  );
  client.write(requestWithBody("/a", 600));
  await untilStarted(1);
  client.write(requestWithBody("/b", 590) + request("/c"));
  await untilStarted(2);
  t.deepEqual(started.map(({ request }) => request.target), ["/a", "/c"]);
  started[1]!.reply(emptyAnswer);
  started[0]!.reply(emptyAnswer);
  await until("answered", () => text().includes("/c"));
  t.is(text(), "/a answer\n/b refusal\n/c answer\n");
  t.is(budget.reserved(), 0);
  client.destroy();
  server.close();
});

test("an incomplete request that exceeds the memory budget is rejected", async (t) => {
  const budget = createByteBudget(1_000);
  budget.reserve(900);
  const { client, started, server, text } = await openConnection(budget);
  client.write(requestWithBody("/a", 400).slice(0, -1));
  await once(client, "end");
  t.is(text(), "no-room close\n");
  t.deepEqual(started, []);
  t.is(budget.reserved(), 900);
  client.destroy();
  server.close();
});

test("replies reserve memory until sent, one that exceeds the budget fails", async (t) => {
  // More than the socket buffers of a connection hold.
  const bytes = 30_000_000;
  const budget = createByteBudget(2 * bytes);
  const { client, started, server, text, untilStarted } = await openConnection(
    budget,
  );
  client.pause();
  client.write(request("/a") + request("/b"));
  await untilStarted(2);
  for (const { reply } of started) {
    reply({ ...emptyAnswer, body: Buffer.alloc(bytes, "a") });
  }
  await delay();
  t.is(budget.reserved(), bytes);
  client.resume();
  while (!text().endsWith("/b failure\n")) await delay();
  t.is(text().length, "/a answer\n".length + bytes + "/b failure\n".length);
  t.is(budget.reserved(), 0);
  client.destroy();
  server.close();
});

// Guards against a linger time that begins before the reply has been sent.
test("a slowly read reply is complete when the connection closes", async (t) => {
  const bytes = 30_000_000;
  const opened = await openConnection(createByteBudget(2 * bytes));
  const { client, connections, started, server, text, untilStarted } = opened;
  client.pause();
  client.write(request("/a"));
  await untilStarted(1);
  connections.drain();
  started[0]!.reply({ ...emptyAnswer, body: Buffer.alloc(bytes, "a") });
  await delay();
  t.is(connections.unsent(), 1);
  await new Promise((resolve) => setTimeout(resolve, 2_500));
  const ended = once(client, "end");
  client.resume();
  await ended;
  t.is(text().length, "/a answer close\n".length + bytes);
  t.is(connections.unsent(), 0);
  server.close();
});

test("a disconnect of the client releases its memory budget", async (t) => {
  const bytes = 30_000_000;
  const budget = createByteBudget(3 * bytes);
  const { client, started, server, untilStarted } = await openConnection(
    budget,
  );
  client.pause();
  client.write(
    request("/a") + requestWithBody("/b", 900) + requestWithBody("/c", 800),
  );
  client.write(requestWithBody("/d", 500).slice(0, -1));
  await untilStarted(3);
  started[0]!.reply({ ...emptyAnswer, body: Buffer.alloc(bytes) });
  const reservedBytes = bytes + 900 + 800 + 499;
  await until("memory reserved", () => budget.reserved() === reservedBytes);
  t.is(budget.reserved(), reservedBytes);
  client.resetAndDestroy();
  await until("released", () => budget.reserved() === 0);
  t.is(budget.reserved(), 0);
  server.close();
});

test("a request body that times out is rejected", async (t) => {
  const { client, connections, started, server, text, advance } =
    await openConnection();
  client.write(requestWithBody("/a", 100).slice(0, -1));
  await delay();
  // The time-out applies to each body separately.
  for (let i = 0; i < 3; i++) {
    connections.sweep();
    advance(59_000);
    client.write(`a${requestWithBody("/a", 100).slice(0, -1)}`);
    await delay();
    connections.sweep();
  }
  t.is(started.length, 3);
  for (const { reply } of started) reply(emptyAnswer);
  advance(60_001);
  connections.sweep();
  await once(client, "end");
  t.true(text().endsWith("body-timeout close\n"));
  t.is(started.length, 3);
  client.destroy();
  server.close();
});
