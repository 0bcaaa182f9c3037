import { once } from "node:events";
import { createServer, request as send } from "node:http";

const KEEP_ALIVE_MS = 10_000;
const QUEUE = 144;

/**
 * Starts a backend server: runs `slots` requests at a time and queues a few,
 * stops work at the deadline that it is given and when the connection closes.
 * `respond`, if it returns true, has answered a request that ran by itself.
 */
export async function startAppServer(
  {
    id,
    service,
    zone,
    host,
    port,
    control,
    slots,
    heartbeatMs,
    workMs,
    record,
    respond,
  },
) {
  const born = Date.now();
  const queue = [];
  let sequence = 0;
  let running = 0;
  const loadOf = () => `${running},${queue.length},${slots}`;
  const startNext = () => {
    while (running < slots && queue.length > 0) queue.shift()();
  };
  const http = createServer((request, response) => {
    const requestId = request.headers["request-id"] ?? "";
    const common = { "Request-Id": requestId, "Server-Load": loadOf() };
    const reject = (status) => {
      record("rejected", { id: requestId, server: id, status });
      response.writeHead(status, { ...common, "Not-Executed": "1" }).end();
    };
    const receivedAt = performance.now();
    let bytes = 0;
    request.on("data", (chunk) => bytes += chunk.length);
    request.on("error", () => {});
    request.on("end", () => {
      if (request.url === "/health") {
        response.writeHead(200, { ...common, "Instance-Id": id }).end();
        return;
      }
      const target = request.headers["target-instance"];
      if (target !== undefined && target !== id) return reject(421);
      if (requestId === "") return reject(400);
      if (queue.length >= QUEUE) return reject(503);
      const deadlineMs = Number(
        request.headers["request-deadline"] ?? Infinity,
      );
      queue.push(() => {
        const leftMs = receivedAt + deadlineMs - performance.now();
        if (response.destroyed) return;
        if (leftMs <= 0) return reject(503);
        running++;
        record("ran", {
          id: requestId,
          server: id,
          service,
          bytes,
          path: request.url,
        });
        const late = server.workMs > leftMs;
        const timer = setTimeout(() => {
          end();
          if (respond?.(request, response, { id, common })) return;
          const body = `${requestId} ${service}`;
          response.writeHead(late ? 504 : 200, {
            ...common,
            "Server-Load": loadOf(),
            "Response-Signature": "1.1.1",
            "Content-Length": body.length,
          }).end(body);
        }, Math.min(server.workMs, leftMs));
        const end = () => {
          if (ended) return;
          ended = true;
          clearTimeout(timer);
          running--;
          startNext();
        };
        let ended = false;
        response.on("close", end);
      });
      startNext();
    });
  });
  http.keepAliveTimeout = KEEP_ALIVE_MS;
  http.requestTimeout = 0;
  http.listen(port, host);
  await once(http, "listening");
  const beat = () => {
    const outgoing = send({
      ...control,
      method: "POST",
      path: `/rpc?call=instances.heartbeat&of=${id}`,
      headers: { "Content-Type": "application/json" },
    }, (response) => {
      response.resume();
      record("heartbeat", { server: id, status: response.statusCode, born });
    });
    outgoing.setTimeout(1_000, () => outgoing.destroy());
    outgoing.on("error", () => {});
    outgoing.end(JSON.stringify({
      service,
      address: `${host}:${port}`,
      zone,
      version: "v1",
      slots,
      state: "ready",
      coldRemainingS: 0,
      sequence: ++sequence,
      born,
    }));
  };
  const timer = setInterval(beat, heartbeatMs);
  beat();
  const server = {
    id,
    workMs,
    running: () => running,
    /** Deregisters without a report of draining; returns the status. */
    deregister() {
      clearInterval(timer);
      return new Promise((resolve) => {
        const outgoing = send({
          ...control,
          method: "POST",
          path: `/rpc?call=instances.deregister&of=${id}`,
        }, (response) => {
          response.resume();
          record("deregistered", { server: id, status: response.statusCode });
          resolve(response.statusCode);
        });
        outgoing.on("error", () => resolve(0));
        outgoing.end();
      });
    },
    close() {
      clearInterval(timer);
      http.close();
      http.closeAllConnections();
    },
  };
  return server;
}
