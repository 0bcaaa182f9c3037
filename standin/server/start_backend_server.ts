import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { Pool } from "undici";
import { parse } from "../../src/core/parse.ts";
import { Control } from "./control.ts";
import { runOperation } from "./run_operation.ts";
import type { ServerSettings } from "./server_settings.ts";
import type { ServerState } from "./server_state.ts";

const ANNOUNCE_MS = 500;

/** Starts a stand-in backend server, which announces itself to its daemon periodically. */
export function startBackendServer(settings: ServerSettings): Server {
  const state: ServerState = {
    settings,
    control: Control.parse({}),
    state: "up",
    inUse: 0,
    peak: 0,
    waiting: [],
    runs: new Map(),
    previous: null,
    started: 0,
    completed: 0,
    daemon: new Pool(`http://${settings.daemon}`, {
      connections: settings.slots * 2,
    }),
  };
  const server = createServer((request, response) => {
    if (request.url?.startsWith("/-/")) {
      return answerControl(state, request, response);
    }
    runOperation(state, request, response);
  });
  server.keepAliveTimeout = 60_000;
  server.listen(settings.port, settings.host, () => announce(state));
  const timer = setInterval(() => announce(state), ANNOUNCE_MS);
  server.on("close", () => clearInterval(timer));
  return server;
}

function announce({ settings, state, daemon }: ServerState): void {
  daemon.request({
    method: "PUT",
    path: "/-/announce",
    headers: { "content-type": "application/json" },
    body: JSON.stringify({
      service: settings.service,
      address: settings.announced ?? `${settings.host}:${settings.port}`,
      slots: settings.slots,
      connections: settings.connections,
      warmupMs: settings.warmupMs,
      state,
      sheds: true,
      echoes: true,
    }),
  }).then(({ body }) => body.dump(), () => {
    // The daemon may not listen yet; the announcement is repeated periodically.
  });
}

const ROUTES: Record<
  string,
  (state: ServerState, body: unknown) => unknown
> = {
  "/-/control": (state, body) => {
    const control = parse(Control, body);
    if (control.ok) state.control = control.value;
    return control;
  },
  "/-/leave": (state) => {
    state.state = "leaving";
    announce(state);
    return { ok: true };
  },
  "/-/runs": ({ runs, started, completed, inUse, peak, waiting }) => ({
    runs: Object.fromEntries(runs),
    started,
    completed,
    inUse,
    peak,
    waiting: waiting.length,
  }),
};

function answerControl(
  state: ServerState,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const route = ROUTES[request.url ?? ""];
  let text = "";
  request.on("data", (chunk) => text += chunk);
  request.on("end", () => {
    const body = text === "" ? {} : JSON.parse(text);
    response.writeHead(route ? 200 : 404, {
      "content-type": "application/json",
    });
    response.end(JSON.stringify(route?.(state, body) ?? { ok: false }));
  });
}
