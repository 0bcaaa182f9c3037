import test, { registerCompletionHandler } from "ava";
import { once } from "node:events";
import { createServer } from "node:net";
import process from "node:process";
import { until } from "../../test/until.ts";
import { meshTestFixture } from "./mesh_test_fixture.ts";

// Ends the process, since a mesh can't stop listening.
registerCompletionHandler(() => process.exit());

const { connect, entry, nextHost, port, start } = meshTestFixture;

// Guards against clients that make a daemon buffer up to 72 MB per connection
// without having identified themselves.
test("a large frame before the handshake closes the link", async (t) => {
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

// Guards against unidentified connections that stay open indefinitely.
test("an accepted link without a timely handshake is closed", async (t) => {
  const host = nextHost();
  const { lines, advance, clock } = start(host);
  const readsBefore = clock.reads;
  const { socket } = await connect(host);
  const closed = once(socket, "close");
  await until("accepted", () => clock.reads > readsBefore);
  const readsWhenAccepted = clock.reads;
  socket.write(Buffer.from([0, 0, 0, 9, 1]));
  // The time is taken whenever bytes are read; unread ones would make the close
  // a reset.
  await until("bytes read", () => clock.reads > readsWhenAccepted);
  advance(2_000);
  t.false(socket.destroyed);
  advance(1_500);
  await closed;
  t.true(lines.some(({ reason }) => reason === "handshake timed out"));
});

// Otherwise any client could put a configuration into force.
test("a message before the handshake closes the link", async (t) => {
  const host = nextHost();
  const versions: number[] = [];
  const { lines } = start(host, {
    onConfig: (version) => versions.push(version),
  });
  const { socket, send } = await connect(host);
  send(["config", 9, Buffer.from("{}")]);
  await once(socket, "close");
  t.deepEqual(versions, []);
  t.true(lines.some(({ reason }) => reason === "message before hello"));
});

test("a link stays open after the handshake and may send large messages", async (t) => {
  const host = nextHost();
  const sizes: number[] = [];
  const { advance } = start(host, {
    onConfig: (_version, bytes) => sizes.push(bytes.length),
  });
  const { socket, send, messages } = await connect(host);
  send(["hello", entry("127.0.0.9")], ["config", 1, Buffer.alloc(1_000_000)]);
  await until("configuration received", () => sizes.length === 1);
  advance(5_000);
  t.false(socket.destroyed);
  t.deepEqual(sizes, [1_000_000]);
  t.is(messages[0]![0], "entry");
});

// Another process may listen at the address of a daemon that is gone.
test("an outgoing link without a timely handshake is closed", async (t) => {
  const host = nextHost();
  const other = nextHost();
  const server = createServer().listen(port, other);
  await once(server, "listening");
  const { mesh, lines, advance } = start(host);
  mesh.addPeer(`${other}:${port}`);
  const peer = mesh.peers.get(`${other}:${port}`)!;
  await until("connected", () => peer.link !== null);
  advance(3_200);
  t.true(
    lines.some(({ event, reason }) =>
      event === "peer-lost" && reason === "handshake timed out"
    ),
  );
});
