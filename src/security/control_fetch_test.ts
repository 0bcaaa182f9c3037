import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import test from "ava";
import { Agent } from "undici";
import { createControlFetch } from "./create_control_fetch.ts";
import { createSigner } from "./create_signer.ts";

// Guards against a gossip round that waits for a connection without a time-out:
// it would never end, and no other round would follow.
test("a control call that waits for a connection times out", async (t) => {
  const paths: (string | undefined)[] = [];
  const server = createServer((request) => {
    paths.push(request.url);
    server.emit("reached");
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const signer = createSigner({
    key: "k".repeat(32),
    address: "127.0.0.1:1",
    instance: "i",
  });
  const dispatcher = new Agent({ connections: 1 });
  const call = (path: string, timeoutMs: number) => {
    const expectedEpoch = () => undefined;
    const options = { signer, dispatcher, timeoutMs, expectedEpoch };
    return createControlFetch(options)(`http://127.0.0.1:${port}${path}`);
  };
  const reached = once(server, "reached");
  const first = call("/first", 60_000);
  await reached;
  await t.throwsAsync(call("/second", 5), { message: /Timed out/ });
  const failed = t.throwsAsync(first);
  server.closeAllConnections();
  await failed;
  await dispatcher.destroy();
  t.deepEqual(paths, ["/first"]);
  server.close();
});
