import test, { registerCompletionHandler } from "ava";
import process from "node:process";
import type { CallOutcome } from "../calls/call_outcome.ts";
import type { CallRequest } from "../calls/call_request.ts";
import { until } from "../../test/until.ts";
import { meshTestFixture } from "./mesh_test_fixture.ts";
import type { Message } from "./message.ts";

// Ends the process, since a mesh can't stop listening.
registerCompletionHandler(() => process.exit());

const { connect, entry, link, nextHost, request, start } = meshTestFixture;
const MB = 1024 * 1024;
const REPORT = { load: 0, route: null };
// Bytes of a large body that may precede a small message.
const WINDOW_BYTES = 256 * 1024;

/** Serves a call at once with a response of the size that its target names. */
const respond = (
  { target }: CallRequest,
  onOutcome: (outcome: CallOutcome, report: typeof REPORT) => void,
) => {
  const body = Buffer.alloc(Number(target.slice(1)), "x");
  onOutcome({ kind: "answered", status: 200, fields: [], body }, REPORT);
  return () => {};
};
const requestFor = (bytes: number, bodyBytes = 0): CallRequest => ({
  ...request(bodyBytes),
  target: `/${bytes}`,
});
/** Runs the event loop, so that the first of many pieces are sent. */
async function runTurns(count: number): Promise<void> {
  for (let i = 0; i < count; i++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
const callMessage = (stream: number, bytes: number): Message => [
  "request",
  stream,
  ["q", "GET", `/${bytes}`, [], "r", "i", false, 0, true, 0],
  1_000,
  Buffer.alloc(0),
];

test("large bodies arrive unchanged in both directions", async (t) => {
  const host = nextHost();
  const received: Buffer[] = [];
  start(host, {
    serve(call, onOutcome) {
      received.push(call.body);
      return respond(call, onOutcome);
    },
  });
  const { mesh, peer } = await link(host);
  const body = Buffer.from(
    Uint8Array.from({ length: 3 * MB + 7 }, (_, at) => at % 251),
  );
  const outcome = await new Promise<CallOutcome>((resolve) => {
    mesh.call(peer, { ...requestFor(5 * MB), body }, resolve, () => {});
  });
  t.true(outcome.kind === "answered");
  if (outcome.kind !== "answered") return;
  t.true(outcome.body.equals(Buffer.alloc(5 * MB, "x")));
  t.true(received[0]!.equals(body));
});

// Guards against head-of-line blocking: a small response must not wait until a
// large one before it has been sent.
test("a small response overtakes a large one", async (t) => {
  const host = nextHost();
  start(host, { serve: respond });
  const { socket, send, messages } = await connect(host);
  send(["hello", { ...entry("127.0.0.9"), takesPieces: true }]);
  send(callMessage(1, 32 * MB), callMessage(2, 10));
  let index = 0;
  let bytesBefore = 0;
  const acknowledge = setInterval(() => {
    for (; index < messages.length; index++) {
      const message = messages[index]!;
      if (message[0] === "piece") send(["piece-read", message[3].length]);
    }
  }, 1);
  await until(
    "small response received",
    () => messages.some((each) => each[0] === "answered" && each[1] === 2),
  );
  clearInterval(acknowledge);
  for (const message of messages) {
    if (message[0] === "answered" && message[1] === 2) break;
    if (message[0] === "piece") bytesBefore += message[3].length;
    if (message[0] === "answered") bytesBefore += message[4].length;
  }
  t.true(bytesBefore <= WINDOW_BYTES, `${bytesBefore} bytes`);
  socket.destroy();
});

// The same for a small call after a call with a large body.
test("a small call overtakes a large one", async (t) => {
  const host = nextHost();
  const served: number[] = [];
  start(host, {
    serve(call, onOutcome) {
      served.push(call.body.length);
      return respond(call, onOutcome);
    },
  });
  const { mesh, peer } = await link(host);
  const outcomes: Promise<CallOutcome>[] = [];
  for (const size of [10 * MB, 10]) {
    outcomes.push(
      new Promise((resolve) => {
        mesh.call(peer, requestFor(10, size), resolve, () => {});
      }),
    );
  }
  await Promise.all(outcomes);
  t.deepEqual(served, [10, 10 * MB]);
});

test("a response in pieces to a cancelled call is dropped", async (t) => {
  const host = nextHost();
  start(host, { serve: respond });
  const { mesh, peer } = await link(host);
  const cancel = mesh.call(peer, requestFor(20 * MB), () => t.fail(), () => {});
  await runTurns(10);
  cancel();
  const outcome = await new Promise<CallOutcome>((resolve) => {
    mesh.call(peer, requestFor(2 * MB), resolve, () => {});
  });
  t.true(outcome.kind === "answered" && outcome.body.length === 2 * MB);
  t.not(peer.link, null);
});

test("a cancelled call with an unsent body never runs", async (t) => {
  const host = nextHost();
  const served: number[] = [];
  start(host, {
    serve(call, onOutcome) {
      served.push(call.body.length);
      return respond(call, onOutcome);
    },
  });
  const { mesh, peer } = await link(host);
  const cancel = mesh.call(
    peer,
    requestFor(1, 20 * MB),
    () => t.fail(),
    () => {},
  );
  await runTurns(10);
  cancel();
  await new Promise((resolve) => {
    mesh.call(peer, requestFor(1, MB), resolve, () => {});
  });
  t.deepEqual(served, [MB]);
});

test("a daemon without support for pieces gets a body in one message", async (t) => {
  const host = nextHost();
  start(host, { serve: respond });
  const { socket, send, messages } = await connect(host);
  send(["hello", entry("127.0.0.9")], callMessage(1, 3 * MB));
  await until("response received", () => messages.length >= 2);
  const last = messages.at(-1)!;
  t.true(last[0] === "answered" && last[4].length === 3 * MB);
  t.is(last.length, 7);
  socket.destroy();
});

test("a daemon without support for pieces may send a body in one message", async (t) => {
  const host = nextHost();
  const served: number[] = [];
  start(host, {
    serve(call, onOutcome) {
      served.push(call.body.length);
      return respond(call, onOutcome);
    },
  });
  const { socket, send, messages } = await connect(host);
  const [kind, stream, head, remainingMs] = callMessage(1, 1) as never as [
    "request",
    number,
    never,
    number,
  ];
  send(["hello", entry("127.0.0.9")]);
  send([kind, stream, head, remainingMs, Buffer.alloc(20 * MB)]);
  await until("response received", () => messages.length >= 2);
  t.deepEqual(served, [20 * MB]);
  socket.destroy();
});
