import test, { registerCompletionHandler } from "ava";
import { once } from "node:events";
import process from "node:process";
import type { CallOutcome } from "../calls/call_outcome.ts";
import { until } from "../../test/until.ts";
import { meshTestFixture } from "./mesh_test_fixture.ts";

// Ends the process, since a mesh can't stop listening.
registerCompletionHandler(() => process.exit());

const { connect, entry, link, listen, nextHost, request, start } =
  meshTestFixture;
const MB = 1024 * 1024;
// Unsent bytes allowed on a link, one body beyond that, and what the socket
// buffers of both sides hold.
const MAX_PENDING_MB = 16 + 1 + 15;
const BODIES = 100;
// A peer that reads 64 KiB each 5 ms.
const READ_INTERVAL_MS = 5;
const TICK_INTERVAL_MS = 100;
const REPORT = { load: 0, route: null };

/** Starts a mesh that is linked to a raw listener. */
async function linkToListener(
  overrides: Parameters<typeof link>[1] = {},
  entry: Parameters<typeof listen>[1] = {},
) {
  const host = nextHost();
  const accepted = listen(host, entry);
  const started = await link(host, overrides);
  return { ...started, socket: await accepted };
}

// Guards against unbounded growth of the queue of responses to a peer that
// doesn't read.
test("responses to a peer that doesn't read end as unknown", async (t) => {
  const host = nextHost();
  const body = Buffer.alloc(MB);
  const { lines } = start(host, {
    serve(_request, onOutcome) {
      onOutcome({ kind: "answered", status: 200, fields: [], body }, REPORT);
      return () => {};
    },
  });
  const { socket, send, messages } = await connect(host);
  socket.pause();
  send(["hello", entry("127.0.0.9")]);
  for (let stream = 0; stream < BODIES; stream++) {
    send([
      "request",
      stream,
      ["q", "GET", "/", [], "r", "i", false, 0, true, 0],
      1_000,
      Buffer.alloc(0),
    ]);
  }
  await until(
    "responses dropped",
    () => lines.some(({ event }) => event === "answer-dropped"),
  );
  socket.resume();
  const outcomeMessages = () =>
    messages.filter(([kind]) => OUTCOME_KINDS.has(kind));
  await until(
    "outcomes of all calls",
    () => outcomeMessages().length === BODIES,
  );
  const answered =
    outcomeMessages().filter(([kind]) => kind === "answered").length;
  t.true(answered >= 16 && answered < MAX_PENDING_MB, `${answered} MB`);
  t.true(outcomeMessages().every(([kind]) => kind !== "not-run"));
});

const OUTCOME_KINDS: ReadonlySet<string> = new Set([
  "answered",
  "not-run",
  "unknown",
]);

// The same for calls. Those that aren't sent must end as `not-run`, so that
// they may be retried at another server.
test("calls that exceed the unsent limit end as not run", async (t) => {
  const { mesh, peer, socket } = await linkToListener();
  socket.pause();
  const outcomes: CallOutcome[] = [];
  for (let i = 0; i < BODIES; i++) {
    mesh.call(peer, request(MB), (outcome) => outcomes.push(outcome), () => {});
    await new Promise((resolve) => setImmediate(resolve));
  }
  t.true(
    BODIES - outcomes.length < MAX_PENDING_MB,
    `${BODIES - outcomes.length} MB`,
  );
  t.deepEqual(
    outcomes[0],
    { kind: "not-run", reason: "no-room", arrived: false },
  );
  const rejected = outcomes.length;
  mesh.call(peer, request(0), (outcome) => outcomes.push(outcome), () => {});
  await new Promise((resolve) => setImmediate(resolve));
  t.is(outcomes.length, rejected);
});

test("a call that exceeds the unsent limit can be cancelled", async (t) => {
  const { mesh, peer, socket } = await linkToListener();
  socket.pause();
  let full = false;
  while (!full) {
    mesh.call(peer, request(4 * MB), () => full = true, () => {});
    await new Promise((resolve) => setImmediate(resolve));
  }
  mesh.call(peer, request(MB), () => t.fail(), () => t.fail())();
  await new Promise((resolve) => setImmediate(resolve));
  t.pass();
});

// A peer that sends but doesn't read must not keep its link, and the memory of
// the bytes queued on it.
test("a link whose peer doesn't read is closed", async (t) => {
  const host = nextHost();
  const body = Buffer.alloc(20 * MB);
  const { lines, advance } = start(host, {
    serve(_request, onOutcome) {
      onOutcome({ kind: "answered", status: 200, fields: [], body }, REPORT);
      return () => {};
    },
  });
  const { socket, send } = await connect(host);
  socket.pause();
  send(["hello", entry("127.0.0.9")], [
    "request",
    1,
    ["q", "GET", "/", [], "r", "i", false, 0, true, 0],
    1_000,
    Buffer.alloc(0),
  ]);
  await new Promise((resolve) => setTimeout(resolve, 200));
  advance(1_000);
  t.false(lines.some(({ event }) => event === "link-closed"));
  advance(1_000);
  t.true(lines.some(({ reason }) => reason === "not reading"));
  socket.resume();
  await once(socket, "close");
});

// The same for pieces, which wait for the peer's acknowledgements.
test("a link whose peer doesn't acknowledge pieces is closed", async (t) => {
  const { mesh, lines, advance, peer, socket } = await linkToListener({}, {
    takesPieces: true,
  });
  socket.resume();
  const outcomes: CallOutcome[] = [];
  mesh.call(peer, request(MB), (outcome) => outcomes.push(outcome), () => {});
  await until("window full", () => peer.link!.blockedSince() !== null);
  advance(1_400);
  t.deepEqual(outcomes, []);
  advance(300);
  t.deepEqual(outcomes, [{ kind: "unknown", reason: "link-lost" }]);
  t.true(
    lines.some(({ event, reason }) =>
      event === "peer-lost" && reason === "not reading"
    ),
  );
});

test("cancelling a blocked body stops the time-out of the link", async (t) => {
  const { mesh, advance, peer, socket } = await linkToListener({}, {
    takesPieces: true,
  });
  socket.resume();
  const cancel = mesh.call(peer, request(MB), () => t.fail(), () => {});
  await until("window full", () => peer.link!.blockedSince() !== null);
  cancel();
  advance(1_700);
  t.not(peer.link, null);
});

// The ping is queued behind the body, so its answer is late; progress of the
// body counts as activity instead. Time passes with each read, so that it isn't
// the speed of the machine that is tested.
test("a link that is busy with a large body does not time out", async (t) => {
  const { mesh, peer, socket, clock } = await linkToListener();
  socket.pause();
  let failed = false;
  mesh.call(peer, request(30 * MB), () => failed = true, () => failed = true);
  let bytesRead = 0;
  let tickedAt = clock.now;
  while (!failed && bytesRead <= 30 * MB) {
    await new Promise((resolve) => setImmediate(resolve));
    const bytes = socket.read()?.length ?? 0;
    if (bytes === 0) continue;
    bytesRead += bytes;
    clock.now += READ_INTERVAL_MS;
    if (clock.now - tickedAt < TICK_INTERVAL_MS) continue;
    tickedAt = clock.now;
    mesh.tick();
  }
  t.false(failed);
  t.not(peer.link, null);
  // Long enough for a ping to be missed.
  t.true(clock.now > 2_000, `${clock.now} ms`);
});
