import test from "ava";
import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import type { CallOutcome } from "../calls/call_outcome.ts";
import type { CallRequest } from "../calls/call_request.ts";
import { createByteBudget } from "../core/create_byte_budget.ts";
import { fieldValue } from "../http1/field_value.ts";
import { openServerConnection } from "./open_server_connection.ts";
import type { ServerProtocol } from "./server_protocol.ts";

const protocol: ServerProtocol = {
  formatRequest: () => "GET / HTTP/1.1\r\n\r\n",
  readResponse({ startLine, fields, body }) {
    if (fieldValue(fields, "late") !== undefined) return { kind: "foreign" };
    return {
      kind: "outcome",
      outcome: startLine.startsWith("HTTP/1.1 ")
        ? { kind: "answered", status: 200, fields, body }
        : { kind: "unknown", reason: "malformed-response" },
      identified: true,
      keepAliveMs: null,
    };
  },
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
  repeatedShare: 0,
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

test("malformed bytes leave the outcome unknown", async (t) => {
  const outcome = await outcomeOf((socket) => socket.end("garbage\r\n\r\n"));
  t.is(outcome.kind, "unknown");
});

test("a refused connection gives not-run", async (t) => {
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

test("interim responses are skipped", async (t) => {
  const interim = "HTTP/1.1 102 Processing\r\n\r\n";
  const outcome = await outcomeOf((socket) =>
    socket.end(`${interim}${interim}${UNFRAMED}`)
  );
  t.is(outcome.kind === "answered" && outcome.body.toString(), "part");
});

const HEAD = "HTTP/1.1 200 OK\r\n";
const FILLER = "a".repeat(10_000);
const ENDLESS: Record<string, { first: string; unit: string }> = {
  "interim responses": { first: "", unit: "HTTP/1.1 102 Processing\r\n\r\n" },
  "late responses": {
    first: "",
    unit: `${HEAD}Late: 1\r\nContent-Length: 0\r\n\r\n`,
  },
  "large late responses": {
    first: "",
    unit: `${HEAD}Late: 1\r\nContent-Length: 400000\r\n\r\n` +
      FILLER.repeat(40),
  },
  "blank lines": { first: "", unit: "\r\n".repeat(100) },
  "a head": { first: HEAD, unit: "X: y\r\n".repeat(100) },
  "small chunks": {
    first: `${HEAD}Transfer-Encoding: chunked\r\n\r\n`,
    unit: "1\r\na\r\n".repeat(100),
  },
  "trailers": {
    first: `${HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\n`,
    unit: "X: y\r\n".repeat(100),
  },
  "a body until the close": { first: `${HEAD}\r\n`, unit: FILLER },
};
// Upper bound of what the server can write. The connection accepts twice the
// maximum body per response, and that maximum is half of the budget; the rest
// is for the socket buffers.
const MAX_WRITTEN_BYTES = BUDGET_BYTES + 12_000_000;
for (const [name, { first, unit }] of Object.entries(ENDLESS)) {
  test(`${name} without end: the outcome is unknown`, async (t) => {
    const budget = createByteBudget(BUDGET_BYTES);
    let written = 0;
    const outcome = await outcomeOf((socket) => {
      socket.write(first);
      const write = () => {
        if (socket.destroyed) return;
        written = socket.bytesWritten;
        // Ends a connection that keeps reading, so that the test ends.
        if (written > 4 * MAX_WRITTEN_BYTES) socket.destroy();
        else if (socket.write(unit)) setImmediate(write);
        else socket.once("drain", write);
      };
      write();
    }, budget);
    t.is(outcome.kind, "unknown");
    t.is("reason" in outcome && outcome.reason, "oversized-response");
    t.true(written <= MAX_WRITTEN_BYTES, `${written} bytes`);
    t.is(budget.reserved(), 0);
  });
}

test("a response beyond the budget leaves the outcome unknown", async (t) => {
  const budget = createByteBudget(BUDGET_BYTES);
  budget.reserve(900_000);
  const outcome = await outcomeOf(
    (socket) =>
      socket.end(`${HEAD}Content-Length: 200000\r\n\r\n${FILLER.repeat(20)}`),
    budget,
  );
  t.is("reason" in outcome && outcome.reason, "no-room");
  t.is(budget.reserved(), 900_000);
});

test("bytes after a response close the idle connection", async (t) => {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.write(`${HEAD}Content-Length: 0\r\n\r\n`);
      setTimeout(() => socket.write("\r\n"), 100);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const events: string[] = [];
  await new Promise<void>((resolve) => {
    const connection = openServerConnection({
      host: "127.0.0.1",
      port,
      protocol,
      budget: createByteBudget(BUDGET_BYTES),
      steadyTime: () => 0,
      onIdle: () => events.push("idle"),
      onClose: () => {
        events.push("closed");
        resolve();
      },
    });
    connection.send(REQUEST, 0, ({ kind }) => events.push(kind));
    // Ends the test if the connection stays open.
    setTimeout(resolve, 1_000);
  });
  t.deepEqual(events, ["answered", "idle", "closed"]);
  server.close();
});
