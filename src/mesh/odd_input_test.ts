import test, { registerCompletionHandler } from "ava";
import { once } from "node:events";
import process from "node:process";
import fc from "fast-check";
import type { CallOutcome } from "../calls/call_outcome.ts";
import { until } from "../../test/until.ts";
import type { Message } from "./message.ts";
import { meshTestFixture } from "./mesh_test_fixture.ts";

// Ends the process, since a mesh can't stop listening.
registerCompletionHandler(() => process.exit());

const { connect, entry, link, listen, nextHost, port, request, send, start } =
  meshTestFixture;
const ODD_ADDRESS = "127.0.0.1:99999";
const NESTING = 50_000;
const RUNS = 200;
const SEED = 20261205;
const REPORT = { load: 0, route: null };

function nested(depth: number): unknown {
  let value: unknown = 0;
  for (let i = 0; i < depth; i++) value = [value];
  return value;
}

/** Starts a mesh that is linked to a raw listener. */
async function linkToListener(overrides: Parameters<typeof link>[1] = {}) {
  const host = nextHost();
  const accepted = listen(host);
  const started = await link(host, overrides);
  const socket = await accepted;
  socket.resume();
  return { ...started, socket, sendOdd: (odd: unknown) => send(socket, odd) };
}

test("hello with a port out of range is rejected", async (t) => {
  const host = nextHost();
  const { mesh, lines } = start(host);
  const odd = await connect(host);
  odd.send(["hello", { ...entry("127.0.0.9"), address: ODD_ADDRESS }]);
  await once(odd.socket, "close");
  t.is(mesh.peers.size, 0);
  t.true(lines.some(({ event }) => event === "peer-message-invalid"));
  const good = await connect(host);
  good.send(["hello", entry("127.0.0.9")]);
  await until("entry received", () => good.messages[0]?.[0] === "entry");
});

test("an odd address among those of peers is left out", async (t) => {
  const good = nextHost();
  const { mesh, peer, lines, sendOdd } = await linkToListener();
  sendOdd(["peers", [ODD_ADDRESS, 7, nested(9), `${good}:${port}`, ""]]);
  await until("address added", () => mesh.peers.has(`${good}:${port}`));
  t.is(mesh.peers.size, 2);
  t.not(peer.link, null);
  t.true(lines.some(({ event }) => event === "peer-address-invalid"));
});

test("a huge list of addresses doesn't use up the descriptors", async (t) => {
  const { mesh, peer, lines, sendOdd } = await linkToListener();
  const many = Array.from(
    { length: 5_000 },
    (_, at) => `127.250.${at >> 8}.${at & 255}:1`,
  );
  sendOdd(["peers", many]);
  sendOdd(["load", 0.5, 7]);
  await until("load read", () => peer.load === 0.5);
  t.is(mesh.peers.size, 1_500);
  t.true(lines.some(({ event }) => event === "peer-limit-reached"));
});

test("an odd entry is left out until a sound one follows", async (t) => {
  const { peer, sendOdd } = await linkToListener();
  const known = peer.entry!;
  for (
    const odd of [
      { address: ODD_ADDRESS },
      { server: { ...known.server, slots: 1e300 } },
      { routeVersion: 2 ** 60 },
      { alone: nested(NESTING / 100) },
    ]
  ) sendOdd(["entry", { ...known, ...odd }]);
  sendOdd(["entry", { ...known, routeVersion: 4 }]);
  await until("sound entry read", () => peer.entry?.routeVersion === 4);
  t.is(peer.entry!.address, known.address);
  t.is(peer.entry!.server!.slots, known.server!.slots);
});

test("a call whose outcome is odd ends as unknown, others go on", async (t) => {
  const { mesh, peer, sendOdd } = await linkToListener();
  const outcomes: CallOutcome[] = [];
  for (let i = 0; i < 4; i++) {
    mesh.call(peer, request(0), (outcome) => outcomes.push(outcome), () => {});
  }
  sendOdd(["not-run", 0, "overload", 0, "yes", 0]);
  sendOdd(["unknown", 1, "expired", 2n ** 60n]);
  sendOdd(["answered", 2, 200, ["odd"], Buffer.alloc(0), 0, null]);
  sendOdd(["answered", 3, 200, [], Buffer.alloc(0), 0, null]);
  await until("outcomes of all calls", () => outcomes.length === 4);
  t.deepEqual(
    outcomes.map(({ kind }) => kind),
    ["unknown", "unknown", "unknown", "answered"],
  );
});

test("an odd call is answered as unknown, others are served", async (t) => {
  const host = nextHost();
  const served: string[] = [];
  start(host, {
    serve({ id }, onOutcome) {
      served.push(id);
      const body = Buffer.alloc(0);
      onOutcome({ kind: "answered", status: 200, fields: [], body }, REPORT);
      return () => {};
    },
  });
  const { socket, messages, send } = await connect(host);
  const head = (id: unknown, fields: unknown = []) =>
    [id, "GET", "/", fields, "r", "i", false, 0, true, 0] as never;
  const body = Buffer.alloc(0);
  send(
    ["hello", entry("127.0.0.9")],
    ["request", 1, head(7), 1_000, body],
    ["request", 2, head("odd", ["Host"]), 1_000, body],
    ["request", 3, head("late"), -Infinity, body],
    ["request", 4, head("good"), 1_000, body],
  );
  await until("outcomes", () => messages.length === 5);
  t.deepEqual(served, ["good"]);
  t.deepEqual(
    messages.slice(1).map(([kind, stream]) => [kind, stream]),
    [["unknown", 1], ["unknown", 2], ["unknown", 3], ["answered", 4]],
  );
  t.false(socket.destroyed);
});

// Names of inherited properties, which a lookup table mustn't find either.
const KINDS: (Message[0] | "hasOwnProperty" | "__defineGetter__")[] = [
  "hello",
  "entry",
  "departed",
  "peers",
  "config",
  "config-wanted",
  "config-current",
  "ping",
  "pong",
  "load",
  "piece",
  "piece-read",
  "request",
  "cancel",
  "answered",
  "not-run",
  "unknown",
  "hasOwnProperty",
  "__defineGetter__",
];
const odd = fc.oneof(
  fc.anything({ maxDepth: 3 }),
  fc.constantFrom(-1, 1e300, NaN, Infinity, 2 ** 53, 2n ** 60n, "", []),
);
const oddMessage = fc.oneof(
  fc.tuple(fc.constantFrom(...KINDS), odd, odd, odd, odd, odd, odd, odd),
  fc.array(odd),
  odd,
);

test("random messages of a peer don't end the process", async (t) => {
  const host = nextHost();
  const { mesh } = start(host);
  await fc.assert(
    fc.asyncProperty(fc.array(oddMessage, { maxLength: 8 }), async (odds) => {
      const { socket, send, messages } = await connect(host);
      send(["hello", entry("127.0.0.9")]);
      for (const odd of odds) send(odd as Message);
      send(["ping"]);
      await until(
        "reply or end",
        () => socket.destroyed || messages.some(([kind]) => kind === "pong"),
      );
      socket.destroy();
    }),
    { numRuns: RUNS, seed: SEED },
  );
  t.true(mesh.peers.size <= 1);
});

test("random messages of an accepting peer don't end the process", async (t) => {
  const { mesh, peer, socket, sendOdd } = await linkToListener();
  await fc.assert(
    fc.asyncProperty(oddMessage, async (odd) => {
      if (!socket.destroyed) sendOdd(odd);
      await new Promise((resolve) => setImmediate(resolve));
    }),
    { numRuns: RUNS, seed: SEED },
  );
  if (!socket.destroyed) {
    sendOdd(["load", 0.5, 7]);
    await until("load read", () => peer.load === 0.5 || peer.link === null);
  }
  t.true(mesh.peers.size >= 1);
});
