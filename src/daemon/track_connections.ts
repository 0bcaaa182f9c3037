import type { Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** A reader that takes nothing for this time has gone, in ms. */
const STALLED_MS = 30_000;

/**
 * A request may be on its way on a connection that looks idle; closing it at
 * once broke some of the callers that go on sending.
 */
const IDLE_GRACE_MS = 1_000;

/** Follows the connections of a server, to close them without a loss. */
export function trackConnections(server: Server) {
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
  response.setTimeout(STALLED_MS, () => response.destroy());
}
