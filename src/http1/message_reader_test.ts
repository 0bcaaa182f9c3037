import test from "ava";
import fc from "fast-check";
import { createServer } from "node:http";
import { connect } from "node:net";
import type { AddressInfo } from "node:net";
import process from "node:process";
import { createByteBudget } from "../core/create_byte_budget.ts";
import { createMessageReader } from "./create_message_reader.ts";
import type { Message } from "./message.ts";
import { parseRequestLine } from "./parse_request_line.ts";
import { requestFraming } from "./request_framing.ts";
import { responseFraming } from "./response_framing.ts";

const BUDGET_BYTES = 1_000_000;
const LIMITS = { headBytes: 1_024, bodyBytes: 4_096 };

function read(chunks: string[], framing = requestFraming, ended = false) {
  const messages: Message[] = [];
  const faults: string[] = [];
  const reader = createMessageReader({
    framing,
    limits: () => LIMITS,
    budget: createByteBudget(BUDGET_BYTES),
    onMessage: (message) => messages.push(message),
    onFault: (fault) => faults.push(fault),
  });
  for (const chunk of chunks) reader.push(Buffer.from(chunk, "latin1"));
  if (ended) reader.end();
  return {
    faults,
    partial: reader.partial(),
    messages: messages.map(({ startLine, body, persistent }) => ({
      startLine,
      body: body.toString("latin1"),
      persistent,
    })),
  };
}

const POST = "POST /a/ HTTP/1.1\r\nHost: a\r\n";

test("reads pipelined requests", (t) => {
  const text = `${POST}Content-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\n\r\n`;
  const { messages, faults, partial } = read([text]);
  t.deepEqual(messages.map(({ body }) => body), ["abc", ""]);
  t.deepEqual(faults, []);
  t.is(partial, "none");
});

test("messages don't depend on how their bytes are split", (t) => {
  const text = `${POST}Transfer-Encoding: chunked\r\n\r\n` +
    `4;x=1\r\nabcd\r\n2\r\nef\r\n0\r\nTrailer: x\r\n\r\n` +
    `${POST}Content-Length: 5\r\nConnection: close\r\n\r\nhello`;
  const whole = read([text]);
  t.deepEqual(whole.messages.map(({ body }) => body), ["abcdef", "hello"]);
  t.deepEqual(whole.messages.map((one) => one.persistent), [true, false]);
  fc.assert(
    fc.property(fc.array(fc.nat(text.length)), (cuts) => {
      const ends = [0, ...cuts.sort((a, b) => a - b), text.length];
      const chunks = ends.slice(1).map((end, i) => text.slice(ends[i], end))
        .filter((chunk) => chunk !== "");
      t.deepEqual(read(chunks), whole);
    }),
    { numRuns: 200 },
  );
});

const MALFORMED: Record<string, string> = {
  "two lengths": "Content-Length: 1\r\nContent-Length: 1\r\n\r\na",
  "length and chunks":
    "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
  "unknown coding": "Transfer-Encoding: gzip, chunked\r\n\r\n",
  "signed length": "Content-Length: +1\r\n\r\na",
  "folded line": "X: a\r\n b\r\n\r\n",
  "space before colon": "X : a\r\n\r\n",
  "bare line feed": "X: a\nY: b\r\n\r\n",
  "no name": ": a\r\n\r\n",
  "null byte": "X: a\0\r\n\r\n",
  "bad chunk size": "Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
  "negative chunk": "Transfer-Encoding: chunked\r\n\r\n-1\r\n",
  "no line end after chunk":
    "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n0\r\n\r\n",
};
for (const [name, rest] of Object.entries(MALFORMED)) {
  test(`rejects ${name}`, (t) => {
    const { messages, faults } = read([
      `${POST}${rest}GET /x HTTP/1.1\r\n\r\n`,
    ]);
    t.deepEqual(faults, ["malformed"]);
    t.deepEqual(messages, []);
  });
}

test("limits the size of the head", (t) => {
  t.deepEqual(read([POST + "X: ".padEnd(2_000, "a")]).faults, [
    "head-too-large",
  ]);
});

test("limits the size of the body", (t) => {
  t.deepEqual(read([`${POST}Content-Length: 5000\r\n\r\n`]).faults, [
    "body-too-large",
  ]);
  const chunked = `${POST}Transfer-Encoding: chunked\r\n\r\n1388\r\n`;
  t.deepEqual(read([chunked]).faults, ["body-too-large"]);
});

test("an orderly end completes a response without a length", (t) => {
  const text = "HTTP/1.1 200 OK\r\n\r\nabc";
  t.is(read([text], responseFraming, true).messages[0]!.body, "abc");
  t.deepEqual(read([text], responseFraming).messages, []);
});

test("an end doesn't complete a response with a length", (t) => {
  const text = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc";
  const { messages, partial } = read([text], responseFraming, true);
  t.deepEqual(messages, []);
  t.is(partial, "body");
});

test("a version in the path is ignored", (t) => {
  const { messages } = read(["GET /HTTP/1.0/ HTTP/1.1\r\nHost: a\r\n\r\n"]);
  t.true(messages[0]!.persistent);
});

test("node:http parses accepted requests in the same way", async (t) => {
  const seen: { method: string; url: string; body: string }[] = [];
  const server = createServer((request, response) => {
    const { method, url } = request;
    let body = "";
    request.setEncoding("latin1");
    request.on("data", (chunk) => body += chunk);
    request.on("end", () => {
      seen.push({ method: method!, url: url!, body });
      response.end();
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const send = (text: string) =>
    new Promise<void>((resolve) => {
      const socket = connect(port, "127.0.0.1");
      socket.end(Buffer.from(text, "latin1"));
      socket.on("data", () => {});
      socket.on("error", () => resolve());
      socket.on("close", () => resolve());
    });
  const line = fc.constantFrom(
    "Content-Length: 2",
    "Content-Length: 02",
    "Content-Length: 0x2",
    "Content-Length:2 ",
    "Content-Length: 2, 2",
    "Transfer-Encoding: chunked",
    "Transfer-Encoding: Chunked",
    "Transfer-Encoding: identity",
    "Transfer-Encoding : chunked",
    "Connection: close",
    "X: y",
    " X: y",
    "X\t: y",
    "",
  );
  const body = fc.constantFrom("", "ab", "2\r\nab\r\n0\r\n\r\n", "0\r\n\r\n");
  const requests = fc.tuple(
    fc.constantFrom("GET", "POST", "G ET"),
    fc.constantFrom("/a/", "/a/?b=c", "a", "/\x80"),
    fc.array(line, { maxLength: 3 }),
    body,
  );
  await fc.assert(
    fc.asyncProperty(requests, async ([method, target, lines, content]) => {
      const text = [`${method} ${target} HTTP/1.1`, "Host: a", ...lines]
        .join("\r\n") + "\r\n\r\n" + content;
      const { messages } = read([text]);
      const first = messages[0];
      const parsed = first && parseRequestLine(first.startLine);
      if (first === undefined || parsed === null) return;
      seen.length = 0;
      await send(text);
      t.deepEqual(seen[0], {
        method: parsed!.method,
        url: parsed!.target,
        body: first.body,
      });
    }),
    { numRuns: 300 },
  );
  server.close();
});

// The limits of the reader determine how many bytes it reads before a fault.
// The framing of chunks may be an eighth of the body plus 16 KiB.
const ENDLESS_LIMITS = { headBytes: 1_024, bodyBytes: 32_000 };
const RESPONSE = "HTTP/1.1 200 OK\r\n";
const CHUNKED = `${RESPONSE}Transfer-Encoding: chunked\r\n\r\n`;
const ENDLESS: Record<
  string,
  { first: string; unit: string; fault: string; maxBytes: number }
> = {
  "chunks of one byte": {
    first: CHUNKED,
    unit: "1\r\na\r\n",
    fault: "framing-too-large",
    maxBytes: 30_000,
  },
  "chunks with long extensions": {
    first: CHUNKED,
    unit: `4;x=${"a".repeat(200)}\r\nabcd\r\n`,
    fault: "framing-too-large",
    maxBytes: 30_000,
  },
  "chunks of 256 bytes": {
    first: CHUNKED,
    unit: `100\r\n${"a".repeat(256)}\r\n`,
    fault: "body-too-large",
    maxBytes: 40_000,
  },
  "trailers": {
    first: `${CHUNKED}0\r\n`,
    unit: "X: y\r\n",
    fault: "head-too-large",
    maxBytes: 2_000,
  },
  "a trailer": {
    first: `${CHUNKED}0\r\nX: `,
    unit: "aaaaaaaaaa",
    fault: "head-too-large",
    maxBytes: 2_000,
  },
  "blank lines before a head": {
    first: "",
    unit: "\r\n",
    fault: "head-too-large",
    maxBytes: 2_000,
  },
  "a head": {
    first: RESPONSE,
    unit: "X: y\r\n",
    fault: "head-too-large",
    maxBytes: 2_000,
  },
  "a body until the close": {
    first: `${RESPONSE}\r\n`,
    unit: "aaaaaaaaaa",
    fault: "body-too-large",
    maxBytes: 33_000,
  },
};
const MAX_SENT_BYTES = 400_000;
for (
  const [name, { first, unit, fault, maxBytes }] of Object.entries(ENDLESS)
) {
  for (const [size, units] of Object.entries({ small: 1, large: 2_000 })) {
    test(`stops reading ${name} without end, in ${size} reads`, (t) => {
      const budget = createByteBudget(BUDGET_BYTES);
      const faults: string[] = [];
      const reader = createMessageReader({
        framing: responseFraming,
        limits: () => ENDLESS_LIMITS,
        budget,
        onMessage: () => t.fail(),
        onFault: (fault) => faults.push(fault),
      });
      const chunk = Buffer.from(unit.repeat(units));
      let bytes = first.length;
      reader.push(Buffer.from(first));
      while (faults.length === 0 && bytes < MAX_SENT_BYTES) {
        reader.push(Buffer.from(chunk));
        bytes += chunk.length;
        t.true(budget.reserved() <= bytes);
      }
      t.deepEqual(faults, [fault]);
      // Each read is processed as a whole.
      t.true(bytes <= maxBytes + chunk.length, `${bytes} bytes`);
      t.is(budget.reserved(), 0);
      reader.push(chunk);
      t.deepEqual(faults, [fault]);
    });
  }
}

test("a body that doesn't fit into the budget ends in a fault", (t) => {
  const budget = createByteBudget(4_000);
  t.true(budget.reserve(2_000));
  const faults: string[] = [];
  const messages: Message[] = [];
  const open = () =>
    createMessageReader({
      framing: responseFraming,
      limits: () => LIMITS,
      budget,
      onMessage: (message) => messages.push(message),
      onFault: (fault) => faults.push(fault),
    });
  const reader = open();
  const head = Buffer.from(`${RESPONSE}Content-Length: 3000\r\n\r\n`);
  reader.push(head);
  reader.push(Buffer.alloc(900));
  t.is(budget.reserved(), 2_900);
  reader.push(Buffer.alloc(900));
  t.deepEqual(faults, ["no-room"]);
  t.is(budget.reserved(), 2_000);
  budget.release(2_000);
  const next = open();
  for (const part of [head, Buffer.alloc(1_500), Buffer.alloc(1_500)]) {
    next.push(part);
  }
  t.is(messages.length, 1);
  t.is(budget.reserved(), 0);
  const last = open();
  last.push(head);
  last.push(Buffer.alloc(900));
  last.close();
  t.is(budget.reserved(), 0);
});

test("memory use depends on the bytes of a body, not on its parts", (t) => {
  const reader = createMessageReader({
    framing: responseFraming,
    limits: () => ({ headBytes: 1_024, bodyBytes: 64_000_000 }),
    budget: createByteBudget(128_000_000),
    onMessage: () => t.fail(),
    onFault: (fault) => t.fail(fault),
  });
  const used = () => {
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
  };
  const part = Buffer.from("aa");
  const parts = 500_000;
  reader.push(Buffer.from(`${RESPONSE}Content-Length: 60000000\r\n\r\n`));
  const before = used();
  for (let i = 0; i < parts; i++) reader.push(part);
  // The parts add up to 1 MB.
  t.true(used() - before < 20_000_000, `${used() - before} bytes`);
});
