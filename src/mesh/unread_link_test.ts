import test, { registerCompletionHandler } from "ava";
import { once } from "node:events";
import process from "node:process";
import type { CallOutcome } from "../calls/call_outcome.ts";
import { until } from "../../test/until.ts";
import { meshTestFixture } from "./mesh_test_fixture.ts";

// A mesh listens until its process ends.
registerCompletionHandler(() => process.exit());

const { connect, entry, link, listen, nextHost, request, start } =
  meshTestFixture;
const MB = 1024 * 1024;
// What a link may hold unsent, one body on top of it, and what the kernel
// takes of both sides.
const MOST_MB = 16 + 1 + 15;
const BODIES = 100;
const REPORT = { load: 0, route: null };

/** Starts a mesh that is linked to a bare listener. */
async function linked(
  over: Parameters<typeof link>[1] = {},
  entry: Parameters<typeof listen>[1] = {},
) {
  const host = nextHost();
  const accepted = listen(host, entry);
  const started = await link(host, over);
  return { ...started, socket: await accepted };
}

// A peer that doesn't read let the queue of answers grow without bound.
test("answers that nobody reads are dropped as unknown", async (t) => {
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
    "some are dropped",
    () => lines.some(({ event }) => event === "answer-dropped"),
  );
  socket.resume();
  const settled = () => messages.filter(([kind]) => SETTLED.has(kind));
  await until("all have an outcome", () => settled().length === BODIES);
  const answered = settled().filter(([kind]) => kind === "answered").length;
  t.true(answered >= 16 && answered < MOST_MB, `${answered} MB`);
  t.true(settled().every(([kind]) => kind !== "not-run"));
});

const SETTLED: ReadonlySet<string> = new Set([
  "answered",
  "not-run",
  "unknown",
]);

// The same for calls; those that aren't sent may go to another server.
test("calls with bodies that find no room haven't run", async (t) => {
  const { mesh, peer, socket } = await linked();
  socket.pause();
  const outcomes: CallOutcome[] = [];
  for (let i = 0; i < BODIES; i++) {
    mesh.call(peer, request(MB), (one) => outcomes.push(one), () => {});
    await new Promise((resolve) => setImmediate(resolve));
  }
  t.true(BODIES - outcomes.length < MOST_MB, `${BODIES - outcomes.length} MB`);
  t.deepEqual(
    outcomes[0],
    { kind: "not-run", reason: "no-room", arrived: false },
  );
  const refused = outcomes.length;
  mesh.call(peer, request(0), (one) => outcomes.push(one), () => {});
  await new Promise((resolve) => setImmediate(resolve));
  t.is(outcomes.length, refused);
});

test("a call that found no room can be cancelled", async (t) => {
  const { mesh, peer, socket } = await linked();
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

// A daemon that sent but didn't read kept its link and the bytes on it.
test("a link that isn't read is closed", async (t) => {
  const host = nextHost();
  const body = Buffer.alloc(20 * MB);
  const { lines, pass } = start(host, {
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
  pass(1_000);
  t.false(lines.some(({ event }) => event === "link-closed"));
  pass(1_000);
  t.true(lines.some(({ reason }) => reason === "not read"));
  socket.resume();
  await once(socket, "close");
});

// The same where bodies go out in pieces, which wait for the other side.
test("pieces that aren't read close the link", async (t) => {
  const { mesh, lines, pass, peer, socket } = await linked({}, {
    takesPieces: true,
  });
  socket.resume();
  const outcomes: CallOutcome[] = [];
  mesh.call(peer, request(MB), (one) => outcomes.push(one), () => {});
  await new Promise((resolve) => setTimeout(resolve, 100));
  pass(1_400);
  t.deepEqual(outcomes, []);
  pass(300);
  t.deepEqual(outcomes, [{ kind: "unknown", reason: "link-lost" }]);
  t.true(
    lines.some(({ event, reason }) =>
      event === "peer-lost" && reason === "not read"
    ),
  );
});

test("a cancelled body leaves no time running", async (t) => {
  const { mesh, pass, peer, socket } = await linked({}, { takesPieces: true });
  socket.resume();
  const cancel = mesh.call(peer, request(MB), () => t.fail(), () => {});
  await new Promise((resolve) => setTimeout(resolve, 100));
  cancel();
  pass(1_700);
  t.not(peer.link, null);
});

// The ping waited behind the body, and its answer counted as overdue.
test("a link that is busy with a large body isn't taken as silent", async (t) => {
  const { mesh, peer, socket } = await linked({
    steadyTime: () => performance.now(),
  });
  let read = 0;
  socket.pause();
  const reading = setInterval(() => read += socket.read()?.length ?? 0, 5);
  const ticking = setInterval(() => mesh.tick(), 100);
  let silent = false;
  mesh.call(peer, request(30 * MB), () => silent = true, () => silent = true);
  await until("the body is read", () => silent || read > 30 * MB);
  clearInterval(reading);
  clearInterval(ticking);
  t.false(silent);
  t.not(peer.link, null);
});
