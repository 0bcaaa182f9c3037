import test, { registerCompletionHandler } from "ava";
import process from "node:process";
import type { CallOutcome } from "../calls/call_outcome.ts";
import { createByteBudget } from "../core/create_byte_budget.ts";
import { until } from "../../test/until.ts";
import { meshTestFixture } from "./mesh_test_fixture.ts";
import type { Message } from "./message.ts";

// A mesh listens until its process ends.
registerCompletionHandler(() => process.exit());

const { connect, entry, link, listen, nextHost, request, start } =
  meshTestFixture;
const MB = 1024 * 1024;
const PIECE_BYTES = 32 * 1024;
const REPORT = { load: 0, route: null };
const OF_PIECES = { ...entry("127.0.0.9"), takesPieces: true };
const HEAD: Extract<Message, { 0: "request" }>[2] = [
  "q",
  "GET",
  "/",
  [],
  "r",
  "i",
  false,
  0,
  true,
  0,
];
const ask = (stream: number): Message => [
  "request",
  stream,
  HEAD,
  1_000,
  Buffer.alloc(0),
];
const piece = (stream: number, total: number): Message => [
  "piece",
  stream,
  total,
  Buffer.alloc(PIECE_BYTES),
];

/** Starts a mesh whose server answers with a body of this size. */
function startAnswering(bytes: number, limit: number) {
  const host = nextHost();
  const budget = createByteBudget(limit);
  const body = Buffer.alloc(bytes);
  const started = start(host, {
    budget,
    serve(_request, onOutcome) {
      onOutcome({ kind: "answered", status: 200, fields: [], body }, REPORT);
      return () => {};
    },
  });
  return { ...started, host, budget };
}

// Each link was bounded, all of them together weren't.
test("links that aren't read hold no more than the account together", async (t) => {
  const { host, budget, lines } = startAnswering(2 * MB, 8 * MB);
  for (let i = 0; i < 8; i++) {
    const { socket, send } = await connect(host);
    socket.pause();
    send(["hello", OF_PIECES], ask(1), ask(2));
  }
  await until("all have asked", () => budget.reserved() > 4 * MB);
  await until(
    "most are dropped",
    () => lines.filter(({ event }) => event === "answer-dropped").length > 10,
  );
  t.true(budget.reserved() <= budget.limit);
});

test("large bodies for one link leave room for those of others", async (t) => {
  const { host, budget } = startAnswering(MB, 8 * MB);
  const unread = await connect(host);
  unread.socket.pause();
  unread.send(["hello", OF_PIECES]);
  for (let stream = 0; stream < 20; stream++) unread.send(ask(stream));
  await until("it holds what it may", () => budget.reserved() > 3 * MB);
  const other = await connect(host);
  other.send(["hello", entry("127.0.0.8")], ask(1));
  await until("it is answered", () => other.messages.length >= 2);
  t.is(other.messages.at(-1)![0], "answered");
});

// A daemon that began bodies and never ended them could fill the memory.
test("a call whose body finds no room has not run", async (t) => {
  const host = nextHost();
  const served: number[] = [];
  const budget = createByteBudget(4 * MB);
  start(host, {
    budget,
    serve(call, onOutcome) {
      served.push(call.body.length);
      onOutcome(
        { kind: "answered", status: 200, fields: [], body: Buffer.alloc(0) },
        REPORT,
      );
      return () => {};
    },
  });
  const { send, messages } = await connect(host);
  send(["hello", OF_PIECES]);
  for (let sent = 0; sent < 3 * MB; sent += PIECE_BYTES) {
    send(piece(7, 10 * MB));
  }
  const outcomes = () => messages.filter(([kind]) => kind === "not-run");
  await until("it is refused", () => outcomes().length > 0);
  t.deepEqual(outcomes(), [["not-run", 7, "no-room", 0, false, 0]]);
  // What still comes of it is neither kept nor run.
  send(["request", 7, HEAD, 1_000, Buffer.alloc(1), 10 * MB]);
  for (let i = 0; i < 4; i++) send(piece(8, 4 * PIECE_BYTES + 1));
  send(["request", 8, HEAD, 1_000, Buffer.alloc(1), 4 * PIECE_BYTES + 1]);
  await until("the other one runs", () => served.length > 0);
  t.deepEqual(served, [4 * PIECE_BYTES + 1]);
  t.is(outcomes().length, 1);
  t.is(budget.reserved(), 0);
});

// The same for answers; their runs have been, so the outcome is unknown.
test("an answer that finds no room at its origin ends as unknown", async (t) => {
  const { host } = startAnswering(6 * MB, Infinity);
  const budget = createByteBudget(8 * MB);
  const { mesh, peer } = await link(host, { budget });
  const outcome = await new Promise<CallOutcome>((resolve) => {
    mesh.call(peer, request(0), resolve, () => {});
  });
  t.deepEqual(outcome, { kind: "unknown", reason: "no-room" });
  t.is(budget.reserved(), 0);
  t.not(peer.link, null);
});

test("a message in one frame that finds no room closes the link", async (t) => {
  const { host, lines, budget } = startAnswering(0, 4 * MB);
  const { send, socket } = await connect(host);
  send(["hello", entry("127.0.0.9")]);
  send(["request", 1, HEAD, 1_000, Buffer.alloc(6 * MB)]);
  await until("it is closed", () => socket.destroyed);
  t.true(lines.some(({ reason }) => reason === "no room"));
  t.is(budget.reserved(), 0);
});

test("whatever becomes of bodies, nothing stays in the account", async (t) => {
  const { host, budget } = startAnswering(3 * MB, 64 * MB);
  const own = createByteBudget(64 * MB);
  const { mesh, peer } = await link(host, { budget: own });
  const call = (bytes: number) => {
    let cancel = () => {};
    const ended = new Promise<void>((resolve) => {
      cancel = mesh.call(peer, request(bytes), () => resolve(), () => {});
    });
    return { ended, cancel };
  };
  const calls = [10, 100_000, 2 * MB].map(call);
  call(3 * MB).cancel();
  const late = call(3 * MB);
  await new Promise((resolve) => setTimeout(resolve, 2));
  late.cancel();
  await Promise.all(calls.map(({ ended }) => ended));
  await until("all is sent", () => budget.reserved() + own.reserved() === 0);
  const lost = call(4 * MB);
  t.true(own.reserved() > 0);
  peer.link!.close("test");
  await lost.ended;
  t.is(own.reserved(), 0);
  await until("the other side has closed", () => budget.reserved() === 0);
  // A daemon that isn't read holds bytes until the link is closed.
  const other = nextHost();
  const socket = await Promise.all([
    listen(other, { takesPieces: true }),
    link(other, { budget: own }).then(({ mesh, peer }) => {
      mesh.call(peer, request(MB), () => {}, () => {});
      t.true(own.reserved() > 0);
    }),
  ]);
  socket[0].destroy();
  await until("that is given back", () => own.reserved() === 0);
});
