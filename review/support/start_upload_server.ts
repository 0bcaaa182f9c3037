import { Agent, createServer, request } from "node:http";
import { PORTS } from "./start_deployment.ts";

const DEADLINE_EXCEEDED = 504;

/** A backend server that reads a request, works on it and answers briefly. */
export type UploadServer = {
  id: string;
  /** Ids of the requests that it has begun to work on. */
  runs: Set<string>;
  running: number;
  sendHeartbeat(): void;
  /** The server crashes, and its machine is gone. */
  crash(): void;
};

/** Starts the server of the machine at `ip`; it sheds when its slots are full. */
export function startUploadServer(
  { ip, service, slots, workMs }: {
    ip: string;
    service: string;
    slots: number;
    workMs: number;
  },
): UploadServer {
  const id = `i-${ip}`;
  const born = Date.now();
  let sequence = 0;
  let crashed = false;
  const agent = new Agent({ keepAlive: true });
  const http = createServer((incoming, response) => {
    const requestId = String(incoming.headers["request-id"] ?? "");
    const load = `${server.running},0,${slots}`;
    const headers = { "Request-Id": requestId, "Instance-Id": id };
    let bytes = 0;
    incoming.on("data", (chunk) => bytes += chunk.length);
    incoming.on("end", () => {
      if (incoming.url === "/health") {
        response.writeHead(200, { ...headers, "Server-Load": load }).end();
        return;
      }
      const target = incoming.headers["target-instance"];
      if (target !== undefined && target !== id) {
        response.writeHead(421, headers).end();
        return;
      }
      if (server.running >= slots) {
        response.writeHead(503, { ...headers, "Not-Executed": "1" }).end();
        return;
      }
      server.running++;
      server.runs.add(requestId);
      const remainingMs = Number(incoming.headers["request-deadline"]);
      const late = workMs > remainingMs;
      setTimeout(() => {
        server.running--;
        const body = `${requestId} ${bytes}`;
        response.writeHead(late ? DEADLINE_EXCEEDED : 200, {
          ...headers,
          "Response-Signature": "standin",
          "Server-Load": load,
          "Content-Length": body.length,
        });
        response.end(body);
      }, Math.min(workMs, remainingMs));
    });
    incoming.on("error", () => {});
  });
  http.keepAliveTimeout = 10_000;
  http.listen(PORTS.app, ip);
  const server: UploadServer = {
    id,
    runs: new Set(),
    running: 0,
    sendHeartbeat() {
      if (crashed) return;
      const beat = request({
        host: ip,
        port: PORTS.control,
        method: "POST",
        path: `/rpc?call=instances.heartbeat&of=${id}`,
        agent,
      }, (response) => response.resume());
      beat.on("error", () => {});
      beat.end(JSON.stringify({
        service,
        address: `${ip}:${PORTS.app}`,
        zone: "zone",
        version: "v1",
        slots,
        state: "ready",
        coldRemainingS: 0,
        sequence: ++sequence,
        born,
      }));
    },
    crash() {
      crashed = true;
      http.close();
      http.closeAllConnections();
    },
  };
  return server;
}
