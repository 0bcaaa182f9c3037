import test from "ava";
import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import type { CallOutcome } from "../calls/call_outcome.ts";
import type { CallRequest } from "../calls/call_request.ts";
import { createByteBudget } from "../core/create_byte_budget.ts";
import { openServerConnection } from "./open_server_connection.ts";
import type { ServerProtocol } from "./server_protocol.ts";

const protocol: ServerProtocol = {
  formatRequest: () => "GET / HTTP/1.1\r\n\r\n",
  readResponse: ({ startLine, fields, body }) => ({
    kind: "outcome",
    outcome: startLine.startsWith("HTTP/1.1 ")
      ? { kind: "answered", status: 200, fields, body }
      : { kind: "unknown", reason: "malformed-response" },
    keepAliveMs: null,
  }),
};
const BUDGET_BYTES = 1_000_000;
const REQUEST: CallRequest = {
  id: "q",
  method: "GET",
  target: "/",
  fields: [],
  body: Buffer.alloc(0),
  route: "r",
  serverId: "i",
  caller: "s",
  nested: false,
  rank: 0,
  repeatable: true,
  repeated: 0,
  expiresAt: Infinity,
};

/** Sends a request to a server that answers with `respond`. */
async function outcomeOf(
  respond: (socket: Socket) => void,
  budget = createByteBudget(BUDGET_BYTES),
): Promise<CallOutcome> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => respond(socket));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const outcome = await new Promise<CallOutcome>((resolve) => {
    const connection = openServerConnection({
      host: "127.0.0.1",
      port,
      protocol,
      budget,
      steadyTime: () => 0,
      onIdle: ({ close }) => close(),
      onClose: () => {},
    });
    connection.send(REQUEST, 0, resolve);
  });
  server.close();
  return outcome;
}

const UNFRAMED = "HTTP/1.1 200 OK\r\n\r\npart";

test("an orderly end completes a response without a length", async (t) => {
  const outcome = await outcomeOf((socket) => socket.end(UNFRAMED));
  t.is(outcome.kind, "answered");
  t.is(outcome.kind === "answered" && outcome.body.toString(), "part");
});

test("a reset doesn't complete a response without a length", async (t) => {
  for (let i = 0; i < 20; i++) {
    const outcome = await outcomeOf((socket) =>
      socket.write(UNFRAMED, () => socket.resetAndDestroy())
    );
    t.is(outcome.kind, "unknown");
  }
});

test("an end within a response with a length doesn't complete it", async (t) => {
  const outcome = await outcomeOf((socket) =>
    socket.end("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart")
  );
  t.deepEqual(outcome, { kind: "unknown", reason: "truncated-response" });
});

test("bytes that are no response leave the outcome unknown", async (t) => {
  const outcome = await outcomeOf((socket) => socket.end("garbage\r\n\r\n"));
  t.is(outcome.kind, "unknown");
});

test("a refused connection has run nothing", async (t) => {
  const outcome = await new Promise<CallOutcome>((resolve) => {
    openServerConnection({
      host: "127.0.0.1",
      port: 1,
      protocol,
      budget: createByteBudget(BUDGET_BYTES),
      steadyTime: () => 0,
      onIdle: () => {},
      onClose: () => {},
    }).send(REQUEST, 0, resolve);
  });
  t.deepEqual(outcome, {
    kind: "not-run",
    reason: "connect-failed",
    arrived: false,
  });
});

test("a response that finds no room leaves the outcome unknown", async (t) => {
  const budget = createByteBudget(BUDGET_BYTES);
  budget.take(900_000);
  const outcome = await outcomeOf(
    (socket) =>
      socket.end(
        `HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n${
          "a".repeat(200_000)
        }`,
      ),
    budget,
  );
  t.deepEqual(outcome, { kind: "unknown", reason: "no-room" });
  t.is(budget.held(), 900_000);
});
