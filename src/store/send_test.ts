import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import test from "ava";
import { Pool } from "undici";
import { send } from "./send.ts";

test("request reported as not sent is never sent", async (t) => {
  const paths: (string | undefined)[] = [];
  const pendingResponses: ServerResponse[] = [];
  const server = createServer((request, response) => {
    paths.push(request.url);
    if (request.url === "/first") pendingResponses.push(response);
    else response.end();
    server.emit("served");
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const pool = new Pool(`http://127.0.0.1:${port}`, { connections: 1 });
  function post(path: string, timeoutMs: number) {
    const request = { path, headers: {}, body: Buffer.from("x") };
    return send(pool, { ...request, method: "POST" }, {
      timeoutMs,
      maxBytes: 10,
    });
  }
  const served = once(server, "served");
  const first = post("/first", 60_000);
  await served;
  t.is((await post("/second", 5)).kind, "not-sent");
  pendingResponses[0]!.end("longer than the limit");
  t.is((await first).kind, "no-response");
  t.is((await post("/third", 60_000)).kind, "response");
  t.deepEqual(paths, ["/first", "/third"]);
  await pool.destroy();
  server.close();
});
