import type { Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/**
 * Time without progress after which, during the shutdown, the recipient of a
 * response is considered disconnected, in ms.
 */
const STALL_TIMEOUT_MS = 30_000;

/**
 * Delay before idle connections are closed, in ms. A request may be in transit
 * on a connection that looks idle; closing at once failed requests of callers
 * that kept sending.
 */
const IDLE_GRACE_MS = 1_000;

/**
 * Tracks the connections of a server, to close them without losing requests.
 */
export function trackConnections(server: Server) {
  // The response in progress on each connection; null on an idle one.
  const sockets = new Map<Socket, ServerResponse | null>();
  let retiring = false;
  let closing = false;
  const retire = () => {
    retiring = true;
    for (const response of sockets.values()) closeAfterResponse(response);
  };
  server.on("connection", (socket) => {
    sockets.set(socket, null);
    socket.once("close", () => sockets.delete(socket));
  });
  server.on("request", ({ socket }, response) => {
    sockets.set(socket, response);
    if (retiring) closeAfterResponse(response);
    if (closing) setStallTimeout(response);
    response.once("close", () => {
      if (sockets.get(socket) !== response) return;
      sockets.set(socket, null);
      if (closing) socket.end();
    });
  });
  return {
    retire,
    close() {
      closing = true;
      retire();
      for (const response of sockets.values()) {
        if (response !== null) setStallTimeout(response);
      }
      setTimeout(() => {
        for (const [socket, response] of sockets) {
          if (response === null) socket.destroySoon();
        }
      }, IDLE_GRACE_MS);
    },
  };
}

function closeAfterResponse(response: ServerResponse | null): void {
  if (response?.headersSent === false) {
    response.setHeader("connection", "close");
  }
}

function setStallTimeout(response: ServerResponse): void {
  response.setTimeout(STALL_TIMEOUT_MS, () => response.destroy());
}
