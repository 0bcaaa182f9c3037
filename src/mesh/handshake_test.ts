import test, { registerCompletionHandler } from "ava";
import { once } from "node:events";
import { createServer } from "node:net";
import process from "node:process";
import { until } from "../../test/until.ts";
import { meshTestFixture } from "./mesh_test_fixture.ts";

// A mesh listens until its process ends.
registerCompletionHandler(() => process.exit());

const { connect, entry, nextHost, port, start } = meshTestFixture;

// A connection that never said who it is could make a daemon hold 72 MB.
test("an unintroduced link that sends a large frame is closed", async (t) => {
  const host = nextHost();
  const { lines } = start(host);
  const { socket } = await connect(host);
  const head = Buffer.alloc(4);
  head.writeUInt32BE(1024 * 1024);
  socket.write(head);
  await once(socket, "close");
  t.like(lines, [
    { event: "link-closed", from: "127.0.0.1", reason: "oversized message" },
  ]);
});

// Such a connection could stay open without end.
test("a link that doesn't introduce itself in time is closed", async (t) => {
  const host = nextHost();
  const { lines, pass } = start(host);
  const { socket } = await connect(host);
  const closed = once(socket, "close");
  socket.write(Buffer.from([0, 0, 0, 9, 1]));
  await new Promise((resolve) => setTimeout(resolve, 50));
  pass(2_000);
  t.false(socket.destroyed);
  pass(1_500);
  await closed;
  t.true(lines.some(({ reason }) => reason === "not introduced"));
});

// Any connection could put a configuration into force.
test("a message before the introduction closes the link", async (t) => {
  const host = nextHost();
  const versions: number[] = [];
  const { lines } = start(host, {
    onConfig: (version) => versions.push(version),
  });
  const { socket, send } = await connect(host);
  send(["config", 9, Buffer.from("{}")]);
  await once(socket, "close");
  t.deepEqual(versions, []);
  t.true(lines.some(({ reason }) => reason === "not introduced"));
});

test("an introduced link stays open and may send large messages", async (t) => {
  const host = nextHost();
  const sizes: number[] = [];
  const { pass } = start(host, {
    onConfig: (_version, bytes) => sizes.push(bytes.length),
  });
  const { socket, send, messages } = await connect(host);
  send(["hello", entry("127.0.0.9")], ["config", 1, Buffer.alloc(1_000_000)]);
  await until("both are read", () => sizes.length === 1);
  pass(5_000);
  t.false(socket.destroyed);
  t.deepEqual(sizes, [1_000_000]);
  t.is(messages[0]![0], "entry");
});

// A process at the address of a daemon that is gone could do the same.
test("an opened link that isn't introduced in time is closed", async (t) => {
  const host = nextHost();
  const other = nextHost();
  const server = createServer().listen(port, other);
  await once(server, "listening");
  const { mesh, lines, pass } = start(host);
  mesh.addPeer(`${other}:${port}`);
  const peer = mesh.peers.get(`${other}:${port}`)!;
  await until("connected", () => peer.link !== null);
  pass(3_200);
  t.true(
    lines.some(({ event, reason }) =>
      event === "peer-lost" && reason === "not introduced"
    ),
  );
});
