import test, { registerCompletionHandler } from "ava";
import process from "node:process";
import type { CallOutcome } from "../calls/call_outcome.ts";
import { createByteBudget } from "../core/create_byte_budget.ts";
import { until } from "../../test/until.ts";
import { meshTestFixture } from "./mesh_test_fixture.ts";
import type { Message } from "./message.ts";

// Ends the process, since a mesh can't stop listening.
registerCompletionHandler(() => process.exit());

const { connect, entry, link, listen, nextHost, request, start } =
  meshTestFixture;
const MB = 1024 * 1024;
const PIECE_BYTES = 32 * 1024;
const REPORT = { load: 0, route: null };
const PIECES_ENTRY = { ...entry("127.0.0.9"), takesPieces: true };
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
const callMessage = (stream: number): Message => [
  "request",
  stream,
  HEAD,
  1_000,
  Buffer.alloc(0),
];
const pieceMessage = (stream: number, total: number): Message => [
  "piece",
  stream,
  total,
  Buffer.alloc(PIECE_BYTES),
];

/** Starts a mesh whose server responds with a body of `bytes` bytes. */
function startResponding(bytes: number, limit: number) {
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

// Limits per link don't bound the memory of all links together.
test("links that aren't read stay within the shared memory budget", async (t) => {
  const { host, budget, lines } = startResponding(2 * MB, 8 * MB);
  for (let i = 0; i < 8; i++) {
    const { socket, send } = await connect(host);
    socket.pause();
    send(["hello", PIECES_ENTRY], callMessage(1), callMessage(2));
  }
  await until("responses queued", () => budget.reserved() > 4 * MB);
  await until(
    "responses dropped",
    () => lines.filter(({ event }) => event === "answer-dropped").length > 10,
  );
  t.true(budget.reserved() <= budget.limit);
});

test("large bodies on one link leave room for those on other links", async (t) => {
  const { host, budget } = startResponding(MB, 8 * MB);
  const stalled = await connect(host);
  stalled.socket.pause();
  stalled.send(["hello", PIECES_ENTRY]);
  for (let stream = 0; stream < 20; stream++) stalled.send(callMessage(stream));
  await until("the link holds its maximum", () => budget.reserved() > 3 * MB);
  const other = await connect(host);
  other.send(["hello", entry("127.0.0.8")], callMessage(1));
  await until("response received", () => other.messages.length >= 2);
  t.is(other.messages.at(-1)![0], "answered");
});

// Guards against peers that exhaust the memory with incomplete bodies.
test("a call whose body exceeds the memory budget is not run", async (t) => {
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
  send(["hello", PIECES_ENTRY]);
  for (let sent = 0; sent < 3 * MB; sent += PIECE_BYTES) {
    send(pieceMessage(7, 10 * MB));
  }
  const outcomes = () => messages.filter(([kind]) => kind === "not-run");
  await until("call rejected", () => outcomes().length > 0);
  t.deepEqual(outcomes(), [["not-run", 7, "no-room", 0, false, 0]]);
  // Later pieces of its body are discarded, and the call is not run.
  send(["request", 7, HEAD, 1_000, Buffer.alloc(1), 10 * MB]);
  for (let i = 0; i < 4; i++) send(pieceMessage(8, 4 * PIECE_BYTES + 1));
  send(["request", 8, HEAD, 1_000, Buffer.alloc(1), 4 * PIECE_BYTES + 1]);
  await until("the other call runs", () => served.length > 0);
  t.deepEqual(served, [4 * PIECE_BYTES + 1]);
  t.is(outcomes().length, 1);
  t.is(budget.reserved(), 0);
});

// The same for responses. Their requests have run, so the outcome is unknown.
test("a response that exceeds the caller's memory budget ends as unknown", async (t) => {
  const { host } = startResponding(6 * MB, Infinity);
  const budget = createByteBudget(8 * MB);
  const { mesh, peer } = await link(host, { budget });
  const outcome = await new Promise<CallOutcome>((resolve) => {
    mesh.call(peer, request(0), resolve, () => {});
  });
  t.deepEqual(outcome, { kind: "unknown", reason: "no-room" });
  t.is(budget.reserved(), 0);
  t.not(peer.link, null);
});

test("a single frame that exceeds the memory budget closes the link", async (t) => {
  const { host, lines, budget } = startResponding(0, 4 * MB);
  const { send, socket } = await connect(host);
  send(["hello", entry("127.0.0.9")]);
  send(["request", 1, HEAD, 1_000, Buffer.alloc(6 * MB)]);
  await until("link closed", () => socket.destroyed);
  t.true(lines.some(({ reason }) => reason === "memory budget exhausted"));
  t.is(budget.reserved(), 0);
});

test("bodies that are sent, cancelled or lost release their memory budget", async (t) => {
  const { host, budget } = startResponding(3 * MB, 64 * MB);
  const callerBudget = createByteBudget(64 * MB);
  const { mesh, peer } = await link(host, { budget: callerBudget });
  const call = (bytes: number) => {
    let cancel = () => {};
    const ended = new Promise<void>((resolve) => {
      cancel = mesh.call(peer, request(bytes), () => resolve(), () => {});
    });
    return { ended, cancel };
  };
  const calls = [10, 100_000, 2 * MB].map(call);
  call(3 * MB).cancel();
  const cancelledLate = call(3 * MB);
  await new Promise((resolve) => setTimeout(resolve, 2));
  cancelledLate.cancel();
  await Promise.all(calls.map(({ ended }) => ended));
  await until(
    "all bodies sent",
    () => budget.reserved() + callerBudget.reserved() === 0,
  );
  const lost = call(4 * MB);
  t.true(callerBudget.reserved() > 0);
  peer.link!.close("test");
  await lost.ended;
  t.is(callerBudget.reserved(), 0);
  await until("the peer has closed the link", () => budget.reserved() === 0);
  // A body to a peer that doesn't read is held until the link is closed.
  const listenerHost = nextHost();
  const results = await Promise.all([
    listen(listenerHost, { takesPieces: true }),
    link(listenerHost, { budget: callerBudget }).then(({ mesh, peer }) => {
      mesh.call(peer, request(MB), () => {}, () => {});
      t.true(callerBudget.reserved() > 0);
    }),
  ]);
  results[0].destroy();
  await until("budget released", () => callerBudget.reserved() === 0);
});
