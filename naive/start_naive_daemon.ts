import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Settings } from "../src/settings/settings.ts";
import type { Directory } from "./directory.ts";
import { forward } from "./forward.ts";
import { pollPeers } from "./poll_peers.ts";
import { readBody } from "./read_body.ts";
import { servePeer } from "./serve_peer.ts";

const POLL_MS = 200;

type Handler = (
  directory: Directory,
  request: IncomingMessage,
  response: ServerResponse,
) => void | Promise<void>;

/**
 * Starts a daemon without overload protection, as a baseline for comparison with
 * the product: it has the same listeners, headers and announcement, but round
 * robin and three retries per hop, without load shedding, execution tokens or
 * deadline propagation.
 */
export async function startNaiveDaemon(
  daemon: Settings["daemon"],
): Promise<void> {
  const { address, peerPort, ingressPort, localPort, localAddress } = daemon;
  const directory: Directory = {
    address: `${address}:${peerPort}`,
    dataCentre: daemon.dataCentre,
    members: new Map(),
    nextIndices: new Map(),
  };
  const openListener = (port: number, host: string, fallback: Handler) =>
    listen(port, host, async (request, response) => {
      const route = ROUTES[request.url!.replace(/^(\/-\/[a-z]+).*/, "$1")];
      try {
        await (route ?? fallback)(directory, request, response);
      } catch {
        response.destroy();
      }
    });
  await openListener(ingressPort, address, forward);
  await openListener(localPort, localAddress, forward);
  await openListener(peerPort, address, servePeer);
  setInterval(() => pollPeers(directory, daemon.peers), POLL_MS);
}

/** Control routes under `/-/`, which every listener serves. */
const ROUTES: Record<string, Handler> = {
  async "/-/announce"(directory, request, response) {
    const server = JSON.parse(String(await readBody(request)));
    const { address, dataCentre } = directory;
    directory.members.set(address, { address, dataCentre, server });
    answer(response, { ok: true });
  },
  async "/-/swap"({ members }, request, response) {
    for (const entry of JSON.parse(String(await readBody(request)))) {
      members.set(entry.address, entry);
    }
    answer(response, [...members.values()]);
  },
  "/-/status": ({ address, members }, _request, response) =>
    answer(response, {
      address,
      service: members.get(address)?.server.service ?? null,
      rulesSequence: 1,
    }),
  "/-/members": ({ members }, _request, response) =>
    answer(response, { members: [...members.values()] }),
  "/-/tokens": (_directory, _request, response) =>
    answer(response, { tokens: ["naive"] }),
  "/-/alive": (_directory, _request, response) => answer(response, "running"),
};

function answer(response: ServerResponse, value: unknown): void {
  response.writeHead(200, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}

function listen(
  port: number,
  host: string,
  handler: (request: IncomingMessage, response: ServerResponse) => unknown,
): Promise<Server> {
  const server = createServer(handler);
  server.keepAliveTimeout = 60_000;
  return new Promise((resolve) =>
    server.listen(port, host, () => resolve(server))
  );
}
