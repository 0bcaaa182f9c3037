import test, { registerCompletionHandler } from "ava";
import process from "node:process";
import type { CallOutcome } from "../calls/call_outcome.ts";
import type { CallRequest } from "../calls/call_request.ts";
import { until } from "../../test/until.ts";
import { meshTestFixture } from "./mesh_test_fixture.ts";
import type { Message } from "./message.ts";

// A mesh listens until its process ends.
registerCompletionHandler(() => process.exit());

const { connect, entry, link, nextHost, request, start } = meshTestFixture;
const MB = 1024 * 1024;
const REPORT = { load: 0, route: null };
// What may be on the way of a body when a small message overtakes the rest.
const WINDOW_BYTES = 256 * 1024;

/** Settles a call at once with an answer of as many bytes as its target says. */
const answer = (
  { target }: CallRequest,
  onOutcome: (outcome: CallOutcome, report: typeof REPORT) => void,
) => {
  const body = Buffer.alloc(Number(target.slice(1)), "x");
  onOutcome({ kind: "answered", status: 200, fields: [], body }, REPORT);
  return () => {};
};
const asking = (bytes: number, body = 0): CallRequest => ({
  ...request(body),
  target: `/${bytes}`,
});
/** Lets the first of many pieces go out. */
async function turns(count: number): Promise<void> {
  for (let i = 0; i < count; i++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
const asMessage = (stream: number, bytes: number): Message => [
  "request",
  stream,
  ["q", "GET", `/${bytes}`, [], "r", "i", false, 0, true, 0],
  1_000,
  Buffer.alloc(0),
];

test("large bodies arrive whole in both directions", async (t) => {
  const host = nextHost();
  const received: Buffer[] = [];
  start(host, {
    serve(call, onOutcome) {
      received.push(call.body);
      return answer(call, onOutcome);
    },
  });
  const { mesh, peer } = await link(host);
  const body = Buffer.from(
    Uint8Array.from({ length: 3 * MB + 7 }, (_, at) => at % 251),
  );
  const outcome = await new Promise<CallOutcome>((resolve) => {
    mesh.call(peer, { ...asking(5 * MB), body }, resolve, () => {});
  });
  t.true(outcome.kind === "answered");
  if (outcome.kind !== "answered") return;
  t.true(outcome.body.equals(Buffer.alloc(5 * MB, "x")));
  t.true(received[0]!.equals(body));
});

// A small answer came only when the large one before it had come whole.
test("a small answer overtakes a large one", async (t) => {
  const host = nextHost();
  start(host, { serve: answer });
  const { socket, send, messages } = await connect(host);
  send(["hello", { ...entry("127.0.0.9"), takesPieces: true }]);
  send(asMessage(1, 32 * MB), asMessage(2, 10));
  let at = 0;
  let bytesBefore = 0;
  const acknowledge = setInterval(() => {
    for (; at < messages.length; at++) {
      const message = messages[at]!;
      if (message[0] === "piece") send(["piece-read", message[3].length]);
    }
  }, 1);
  await until(
    "the small answer is there",
    () => messages.some((one) => one[0] === "answered" && one[1] === 2),
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

// The same for a call behind one with a large body.
test("a small call overtakes a large one", async (t) => {
  const host = nextHost();
  const served: number[] = [];
  start(host, {
    serve(call, onOutcome) {
      served.push(call.body.length);
      return answer(call, onOutcome);
    },
  });
  const { mesh, peer } = await link(host);
  const outcomes: Promise<CallOutcome>[] = [];
  for (const size of [10 * MB, 10]) {
    outcomes.push(
      new Promise((resolve) => {
        mesh.call(peer, asking(10, size), resolve, () => {});
      }),
    );
  }
  await Promise.all(outcomes);
  t.deepEqual(served, [10, 10 * MB]);
});

test("an answer in pieces to a cancelled call is dropped", async (t) => {
  const host = nextHost();
  start(host, { serve: answer });
  const { mesh, peer } = await link(host);
  const cancel = mesh.call(peer, asking(20 * MB), () => t.fail(), () => {});
  await turns(10);
  cancel();
  const outcome = await new Promise<CallOutcome>((resolve) => {
    mesh.call(peer, asking(2 * MB), resolve, () => {});
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
      return answer(call, onOutcome);
    },
  });
  const { mesh, peer } = await link(host);
  const cancel = mesh.call(
    peer,
    asking(1, 20 * MB),
    () => t.fail(),
    () => {},
  );
  await turns(10);
  cancel();
  await new Promise((resolve) => {
    mesh.call(peer, asking(1, MB), resolve, () => {});
  });
  t.deepEqual(served, [MB]);
});

test("a daemon that takes no pieces gets a body in one message", async (t) => {
  const host = nextHost();
  start(host, { serve: answer });
  const { socket, send, messages } = await connect(host);
  send(["hello", entry("127.0.0.9")], asMessage(1, 3 * MB));
  await until("it is there", () => messages.length >= 2);
  const last = messages.at(-1)!;
  t.true(last[0] === "answered" && last[4].length === 3 * MB);
  t.is(last.length, 7);
  socket.destroy();
});

test("a daemon that sends no pieces may send a body in one message", async (t) => {
  const host = nextHost();
  const served: number[] = [];
  start(host, {
    serve(call, onOutcome) {
      served.push(call.body.length);
      return answer(call, onOutcome);
    },
  });
  const { socket, send, messages } = await connect(host);
  const [kind, stream, head, ms] = asMessage(1, 1) as never as [
    "request",
    number,
    never,
    number,
  ];
  send(["hello", entry("127.0.0.9")]);
  send([kind, stream, head, ms, Buffer.alloc(20 * MB)]);
  await until("it is answered", () => messages.length >= 2);
  t.deepEqual(served, [20 * MB]);
  socket.destroy();
});
