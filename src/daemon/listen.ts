import { createServer, type RequestListener, type Server } from "node:http";

const KEEP_ALIVE_MS = 60_000;
const HEADERS_TIMEOUT_MS = 10_000;
/** Slow request bodies end after this time. */
const REQUEST_TIMEOUT_MS = 60_000;

/** Where a listener opens, and the largest headers it takes. */
type Options = { host: string; port: number; maxHeaderSize: number };

/** Opens an HTTP listener. */
export function listen(
  listener: RequestListener,
  { host, port, maxHeaderSize }: Options,
): Promise<Server> {
  const server = createServer({ maxHeaderSize }, listener);
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  server.headersTimeout = HEADERS_TIMEOUT_MS;
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  return new Promise((resolve, reject) => {
    server.on("error", reject);
    server.listen(port, host, () => resolve(server));
  });
}
