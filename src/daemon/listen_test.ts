import { once } from "node:events";
import { get } from "node:http";
import { connect } from "node:net";
import test from "ava";
import { listen } from "./listen.ts";

const host = "127.110.0.1";
const maxHeaderSize = 16_384;
const BYTES = 32 * 1024 * 1024;

test("close waits for a slow reader of an ended response", async (t) => {
  const port = 7_101;
  const listener = await listen((_request, response) => {
    response.end(Buffer.alloc(BYTES));
  }, { host, port, maxHeaderSize });
  const request = get({ host, port, agent: false });
  const [response] = await once(request, "response");
  response.pause();
  const closed = listener.close();
  let bytes = 0;
  response.on("data", (chunk: Buffer) => bytes += chunk.length);
  response.resume();
  await once(response, "end");
  t.is(bytes, BYTES);
  await closed;
});

test("a connection without a request does not block close", async (t) => {
  const port = 7_102;
  const listener = await listen(() => {}, { host, port, maxHeaderSize });
  const socket = connect(port, host).resume();
  await once(socket, "connect");
  await listener.close();
  await once(socket, "close");
  t.true(socket.destroyed);
});

test("a response after retire closes its connection", async (t) => {
  const port = 7_103;
  const listener = await listen(
    (_request, response) => response.end("x"),
    { host, port, maxHeaderSize },
  );
  const headers = { connection: "keep-alive" };
  const kept = get({ host, port, headers });
  const [first] = await once(kept, "response");
  first.resume();
  t.is(first.headers.connection, "keep-alive");
  listener.retire();
  const last = get({ host, port, headers });
  const [second] = await once(last, "response");
  second.resume();
  t.is(second.headers.connection, "close");
  await listener.close();
});
