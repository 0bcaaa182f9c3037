import { createServer, type Server } from "node:net";

const LOCK = { host: "127.119.0.254", port: 9_999 };
const RETRY_MS = 100;

/**
 * Waits until no other test file runs processes and returns a function that
 * releases the lock. AVA runs files concurrently. The lock is a listening port,
 * which is released even if the test process crashes.
 */
export async function acquireTestLock(): Promise<() => void> {
  for (;;) {
    const server = await tryListen();
    if (server !== null) return () => server.close();
    await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
  }
}

function tryListen(): Promise<Server | null> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(null));
    server.listen(LOCK, () => resolve(server.unref()));
  });
}
