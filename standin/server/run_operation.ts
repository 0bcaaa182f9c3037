import { appendFileSync } from "node:fs";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Operation } from "./operation.ts";
import type { ServerState } from "./server_state.ts";

/** Header with the key by which the runs of a caller's request are counted. */
const KEY_HEADER = "x-key";

/** Executes one request of the call graph while it holds a slot. */
export async function runOperation(
  state: ServerState,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  request.resume();
  const operation = findOperation(state, request);
  if (operation === undefined) return respond(request, response, 404, "{}");
  const { mode } = state.control;
  if (mode === "shed") {
    response.setHeader("nutmegmoor-outcome", "not-run");
    return respond(request, response, 503, "");
  }
  // Rejects requests beyond the number of connections that it announced.
  if (state.inUse + state.waiting.length >= state.settings.connections) {
    return respond(request, response, 503, "full");
  }
  const aborted = new AbortController();
  response.on("close", () => aborted.abort());
  await acquireSlot(state);
  try {
    if (aborted.signal.aborted) return;
    recordRun(state, request, operation);
    await sleep(operation.workMs + state.control.delayMs, aborted.signal);
    const failed = await runNestedCalls(
      state,
      request,
      operation,
      aborted.signal,
    );
    if (aborted.signal.aborted || mode === "hang") return;
    if (mode === "lose") return void response.destroy();
    if (failed !== null) return respond(request, response, 502, failed);
    if (mode === "fail") return respond(request, response, 503, "failed");
    respondWithResult(state, request, response, operation);
  } finally {
    releaseSlot(state);
  }
}

function findOperation(
  state: ServerState,
  request: IncomingMessage,
): Operation | undefined {
  const path = request.url!.split("?", 1)[0]!;
  return state.settings.operations.find((operation) =>
    operation.method === request.method &&
    (operation.path.endsWith("*")
      ? path.startsWith(operation.path.slice(0, -1))
      : path === operation.path)
  );
}

function recordRun(
  state: ServerState,
  request: IncomingMessage,
  operation: Operation,
): void {
  state.started += 1;
  const key = request.headers[KEY_HEADER];
  if (key === undefined) return;
  const run = `${operation.path} ${key}`;
  state.runs.set(run, (state.runs.get(run) ?? 0) + 1);
  // Written before the work begins, so that the run is on record even if the
  // process is killed.
  append(state, run);
}

function append({ settings }: ServerState, line: string): void {
  if (settings.journal !== undefined) {
    appendFileSync(settings.journal, `${line}\n`);
  }
}

async function acquireSlot(state: ServerState): Promise<void> {
  const { slots } = state.settings;
  state.peak = Math.max(state.peak, state.inUse + state.waiting.length + 1);
  if (state.inUse < slots) {
    state.inUse += 1;
    return;
  }
  await new Promise<void>((resolve) => state.waiting.push(resolve));
}

function releaseSlot(state: ServerState): void {
  const next = state.waiting.shift();
  if (next === undefined) state.inUse -= 1;
  else next();
}

function sleep(ms: number, signal: AbortSignal): Promise<void> {
  if (ms <= 0) return Promise.resolve();
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, ms);
    signal.addEventListener("abort", () => {
      clearTimeout(timer);
      resolve();
    }, { once: true });
  });
}

/** Makes the nested calls of an operation; returns why one failed, or null. */
async function runNestedCalls(
  state: ServerState,
  request: IncomingMessage,
  operation: Operation,
  signal: AbortSignal,
): Promise<string | null> {
  const callOne = (call: Operation["calls"][number]) =>
    sendNestedCall(state, { request, call, signal });
  if (operation.parallel) {
    const failures = await Promise.all(operation.calls.map(callOne));
    return failures.find((failure) => failure !== null) ?? null;
  }
  for (const call of operation.calls) {
    if (signal.aborted) return null;
    const failure = await callOne(call);
    if (failure !== null) return failure;
  }
  return null;
}

async function sendNestedCall(
  state: ServerState,
  { request, call, signal }: {
    request: IncomingMessage;
    call: Operation["calls"][number];
    signal: AbortSignal;
  },
): Promise<string | null> {
  const { method, path, step } = call;
  const headers: Record<string, string> = {
    "nutmegmoor-parent": String(request.headers["nutmegmoor-attempt"] ?? ""),
  };
  const key = request.headers[KEY_HEADER];
  if (typeof key === "string") headers[KEY_HEADER] = key;
  if (step !== undefined) headers["nutmegmoor-step"] = step;
  try {
    const nested = await state.daemon.request({
      method: method as "GET",
      path,
      headers,
      signal,
    });
    const body = await nested.body.text();
    if (nested.statusCode >= 300) return `${path} ${nested.statusCode}`;
    const isOwn = body.includes(`"key":${JSON.stringify(key ?? "")}`);
    if (!isOwn || !body.endsWith("\n")) append(state, `wrong ${path} ${key}`);
    return null;
  } catch (error) {
    return `${path} ${(error as Error).message}`;
  }
}

function respondWithResult(
  state: ServerState,
  request: IncomingMessage,
  response: ServerResponse,
  operation: Operation,
): void {
  state.completed += 1;
  const { service, host } = state.settings;
  const key = request.headers[KEY_HEADER] ?? "";
  const head = JSON.stringify({ service, server: host, key });
  // Callers recognize a complete body by the final newline.
  const body = `${head.padEnd(operation.bytes - 1, ".")}\n`;
  if (state.control.mode === "truncate") {
    response.writeHead(200, {
      "content-length": String(body.length),
      "nutmegmoor-attempt": String(request.headers["nutmegmoor-attempt"] ?? ""),
    });
    response.write(body.slice(0, body.length >> 1));
    setImmediate(() => response.destroy());
    return;
  }
  const attempt = String(request.headers["nutmegmoor-attempt"] ?? "");
  const own = { attempt, body };
  const { previous } = state;
  state.previous = own;
  const reordered = state.control.mode === "reorder" && previous !== null;
  const sent = reordered ? previous : own;
  const echoed = state.control.mode === "mismatch" ? "another" : sent.attempt;
  respond(request, response, 200, sent.body, echoed);
}

function respond(
  request: IncomingMessage,
  response: ServerResponse,
  status: number,
  body: string,
  attempt = request.headers["nutmegmoor-attempt"],
): void {
  if (response.destroyed) return;
  if (attempt !== undefined) response.setHeader("nutmegmoor-attempt", attempt);
  response.writeHead(status, { "content-length": String(body.length) });
  response.end(body);
}
