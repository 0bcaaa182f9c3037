import test from "ava";
import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { createByteBudget } from "../core/create_byte_budget.ts";
import type { OriginRequest } from "../origin/origin_request.ts";
import type { Reply } from "../origin/reply.ts";
import type { ClientProtocol } from "./client_protocol.ts";
import { createClientConnections } from "./create_client_connections.ts";

const protocol: ClientProtocol = {
  readRequest: ({ startLine }) =>
    startLine.startsWith("GET ")
      ? {
        id: startLine,
        host: "h",
        method: "GET",
        target: startLine.split(" ")[1]!,
        fields: [],
        body: Buffer.alloc(0),
        deadlineMs: null,
      }
      : null,
  formatReply: (reply, { target }, close) => ({
    head: `${target} ${reply.kind}${close ? " close" : ""}\n`,
    body: Buffer.alloc(0),
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

async function open() {
  const started: Started[] = [];
  let now = 0;
  const connections = createClientConnections({
    protocol,
    limits: () => LIMITS,
    budget: createByteBudget(1_000_000),
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
      refuseClients() {},
      giveUp() {},
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
  };
}

const request = (path: string) => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`;
const settled = () => new Promise((resolve) => setTimeout(resolve, 50));
const answer: Reply = {
  kind: "answer",
  status: 200,
  fields: [],
  body: Buffer.alloc(0),
};

test("replies keep the order of the requests", async (t) => {
  const { client, started, server, text } = await open();
  client.write(request("/a") + request("/b") + request("/c"));
  await settled();
  for (const at of [2, 0, 1]) started[at]!.reply(answer);
  await settled();
  t.is(text(), "/a answer\n/b answer\n/c answer\n");
  client.destroy();
  server.close();
});

test("a client that leaves cancels its requests", async (t) => {
  const { client, started, server } = await open();
  client.write(request("/a") + request("/b"));
  await settled();
  started[0]!.reply(answer);
  client.destroy();
  await settled();
  t.deepEqual(started.map(({ cancelled }) => cancelled), [false, true]);
  server.close();
});

test("while draining, the last reply closes the connection", async (t) => {
  const { client, connections, started, server, text } = await open();
  client.write(request("/a") + request("/b"));
  await settled();
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
  const { client, started, server, text } = await open();
  client.write(`${request("/a")}no request\r\n\r\n${request("/b")}`);
  await settled();
  t.is(started.length, 1);
  t.is(text(), "");
  started[0]!.reply(answer);
  await once(client, "close");
  t.is(text(), "/a answer\nmalformed close\n");
  server.close();
});
