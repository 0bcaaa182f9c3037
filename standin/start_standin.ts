import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { performance } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";
import { parseJson } from "../src/core/parse_json.ts";
import { authorizationError } from "./authorization_error.ts";
import type { Backend } from "./backend.ts";
import { Control } from "./control.ts";
import type { Faults } from "./faults.ts";
import { setFaults } from "./set_faults.ts";
import type { Standin } from "./standin.ts";
import { consumeFault } from "./consume_fault.ts";

const MAX_BODY_BYTES = 16 * 1024 * 1024;
const CONTROL_PATH = "/-/control";

type Service = { backend: Backend; faults: Faults; accessKey: string };

/** Starts an HTTP server for a backend and the control route; port 0 selects a free port. */
export async function startStandin(
  { backend, address, port, accessKey }: {
    backend: Backend;
    address: string;
    port: number;
    accessKey: string;
  },
): Promise<Standin> {
  const faults: Faults = {
    control: { mode: "up", delayMs: 0 },
    remaining: Infinity,
    windowStart: 0,
    windowWrites: 0,
  };
  const service = { backend, faults, accessKey };
  const server = createServer((request, response) => {
    serve(service, request, response).catch(() => response.destroy());
  });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, address, resolve);
  });
  const bound = server.address();
  if (bound === null || typeof bound === "string") {
    throw new Error("HTTP server is not bound to a TCP port");
  }
  return {
    origin: `http://${address}:${bound.port}`,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

async function serve(
  service: Service,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readBody(request);
  if (request.url === CONTROL_PATH) {
    return control(service, { request, body, response });
  }
  const { backend, faults, accessKey } = service;
  const errorCode = authorizationError(
    request.headers.authorization,
    accessKey,
  );
  if (errorCode !== null) return reply(response, backend.fault(400, errorCode));
  const call = {
    method: request.method ?? "",
    path: request.url ?? "",
    target: String(request.headers["x-amz-target"] ?? ""),
    body,
  };
  const write = backend.isWrite(call);
  const { mode, delayMs } = consumeFault(faults, { write }, performance.now());
  if (delayMs > 0) await delay(delayMs, undefined, { ref: false });
  if (mode === "throttled") {
    return reply(response, backend.fault(400, "ThrottlingException"));
  }
  if (mode === "down") {
    return reply(response, backend.fault(503, "ServiceUnavailable"));
  }
  const answer = backend.handle(call, mode === "stale");
  if (mode === "lose-response") response.destroy();
  else reply(response, answer);
}

function control(
  { backend, faults }: Service,
  { request, body, response }: {
    request: IncomingMessage;
    body: Buffer;
    response: ServerResponse;
  },
): void {
  const parsed = request.method === "POST" ? parseJson(Control, body) : null;
  if (parsed?.ok) {
    if (parsed.value.mode === "stale") backend.snapshot();
    setFaults(faults, parsed.value);
  }
  const status = parsed === null ? 405 : parsed.ok ? 200 : 400;
  reply(response, {
    status,
    type: "application/json",
    body: JSON.stringify(parsed?.ok === false ? parsed.issues : faults.control),
  });
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request) {
    size += chunk.length;
    if (size > MAX_BODY_BYTES) throw new Error("Request body exceeds 16 MiB");
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

function reply(
  response: ServerResponse,
  { status, type, body }: ReturnType<Backend["handle"]>,
): void {
  response.writeHead(status, {
    "content-type": type,
    "content-length": Buffer.byteLength(body),
  });
  response.end(body);
}
