import { createServer, type RequestListener } from "node:http";
import { Server as NetServer } from "node:net";
import type { Listener } from "./listener.ts";
import { trackConnections } from "./track_connections.ts";

const KEEP_ALIVE_MS = 60_000;
const HEADERS_TIMEOUT_MS = 10_000;
/** Time within which a request has to arrive whole, including its body. */
const REQUEST_TIMEOUT_MS = 60_000;

/** Address of a listener, and the largest request headers that it accepts. */
type Options = { host: string; port: number; maxHeaderSize: number };

/** Opens an HTTP listener. */
export function listen(
  listener: RequestListener,
  { host, port, maxHeaderSize }: Options,
): Promise<Listener> {
  const server = createServer({ maxHeaderSize });
  const connections = trackConnections(server);
  // Registered after the tracking, which sets a header before responses are
  // written.
  server.on("request", listener);
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  server.headersTimeout = HEADERS_TIMEOUT_MS;
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  let closed: Promise<void> | null = null;
  const close = () =>
    closed ??= new Promise<void>((resolve) => {
      // `close` of node:http destroys each connection whose response has been
      // ended, even where a slow reader has not received all of it.
      NetServer.prototype.close.call(server, () => {
        server.close();
        resolve();
      });
      connections.close();
    });
  return new Promise((resolve, reject) => {
    server.on("error", reject);
    server.listen(
      port,
      host,
      () => resolve({ retire: connections.retire, close }),
    );
  });
}
