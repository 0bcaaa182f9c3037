import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import process from "node:process";
import { Pool } from "undici";
import { collectGarbage } from "../membership/collect_garbage.ts";

const COUNTS = [100, 1_000, 3_000];
const HOST = "127.0.78.2";

/**
 * Prints the memory of open connections with both ends in this process, as a
 * daemon has about as many that it opened as that others opened to it.
 */
export async function measureConnections(): Promise<void> {
  const held: ServerResponse[] = [];
  const server = createServer((_request, response) => void held.push(response));
  server.keepAliveTimeout = 0;
  await once(server.listen(0, HOST), "listening");
  const { port } = server.address() as AddressInfo;
  for (const count of COUNTS) {
    const pool = new Pool(`http://${HOST}:${port}`, { connections: count });
    const heap = collectGarbage();
    const { rss } = process.memoryUsage();
    const replies = Array.from({ length: count }, async () => {
      const { body } = await pool.request({ method: "GET", path: "/" });
      await body.dump();
    });
    while (held.length < count) await new Promise((run) => setTimeout(run, 20));
    for (const response of held.splice(0)) response.end();
    await Promise.all(replies);
    const kib = (bytes: number) => (bytes / count / 1_024).toFixed(1);
    process.stdout.write(
      `connections=${count} rssKiB=${kib(process.memoryUsage().rss - rss)} ` +
        `heapKiB=${kib(collectGarbage() - heap)} each, both ends\n`,
    );
    await pool.destroy();
  }
  server.close();
}
