import test from "ava";
import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { Pool } from "undici";
import { dispatch } from "./dispatch.ts";

const FIELDS = "HTTP/1.1 200 OK\r\nNutmegmoor-Attempt: a\r\n";
const COMPLETE = `${FIELDS}Content-Length: 0\r\n\r\n`;
const HEADS = {
  "a length": `${FIELDS}Content-Length: 4\r\n\r\n`,
  "no length": `${FIELDS}\r\n`,
  "a close": `${FIELDS}Connection: close\r\n\r\n`,
  "chunks": `${FIELDS}Transfer-Encoding: chunked\r\n\r\n`,
  "interim responses": `HTTP/1.1 102 Processing\r\n\r\n${FIELDS}\r\n`,
  "an interim close":
    `HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\n${FIELDS}\r\n`,
};
const ENDS: Record<string, (socket: Socket, head: string) => void> = {
  "an end": (socket, head) => socket.end(head),
  "a reset": (socket, head) =>
    socket.write(head, () => socket.resetAndDestroy()),
};

/** Events of the last of `count` requests on a connection; it gets `head`. */
async function eventsOf(
  head: string,
  finish: (socket: Socket, head: string) => void,
  count: number,
): Promise<string[]> {
  const server = createServer((socket) => {
    let position = 0;
    socket.on("error", () => {});
    socket.on("data", () => {
      if (++position === count) finish(socket, head);
      else socket.write(COMPLETE);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const pool = new Pool(`http://127.0.0.1:${port}`, {
    connections: 1,
    pipelining: 1,
  });
  let events: string[] = [];
  for (let i = 0; i < count; i++) {
    events = await new Promise<string[]>((resolve) => {
      const seen: string[] = [];
      const request = { method: "GET", path: "/", headers: {}, body: null };
      dispatch(pool, request, {
        begin: () => true,
        start: (status) => seen.push(`start ${status}`),
        data: () => true,
        end: () => resolve([...seen, "end"]),
        fail: ({ sent }) => resolve([...seen, sent ? "lost" : "not sent"]),
      });
    });
  }
  await pool.destroy();
  server.close();
  return events;
}

for (const [framing, head] of Object.entries(HEADS)) {
  for (const [name, finish] of Object.entries(ENDS)) {
    for (const count of [1, 2]) {
      const connection = count === 1 ? "new" : "kept";
      test(`head with ${framing} cut by ${name} on a ${connection} connection`, async (t) => {
        for (let bytes = 0; bytes < head.length; bytes++) {
          const events = await eventsOf(head.slice(0, bytes), finish, count);
          t.deepEqual(events, ["lost"], `cut after ${bytes} bytes`);
        }
      });
    }
  }
}
