import "reflect-metadata";
import { createServer, type RequestListener, type Server } from "node:http";
import type { Candidate } from "../routing/candidate.ts";
import type { Settings } from "../settings/settings.ts";
import { advanceDrain } from "../drain/advance_drain.ts";
import { beginDrain } from "../drain/begin_drain.ts";
import { createDrain } from "../drain/create_drain.ts";
import { createLogger } from "../core/create_logger.ts";
import { tick } from "../admission/tick.ts";
import { sweepLedger } from "../execution/sweep_ledger.ts";
import { expireOpen } from "../relay/expire_open.ts";
import { handleIngress } from "../relay/ingress_listener.ts";
import { handleOutbound } from "../relay/outbound_listener.ts";
import { handlePeer } from "../relay/peer_listener.ts";
import { startTickets } from "../relay/start_tickets.ts";
import { createRelay } from "./create_relay.ts";
import { localApp } from "./local_app.ts";
import { peerApp } from "./peer_app.ts";
import { pollPeers } from "./poll_peers.ts";

/** A running daemon. */
export type Daemon = { stop: () => Promise<void>; done: Promise<void> };

const DEADLINE_SWEEP_MS = 10;
const ADMISSION_TICK_MS = 50;
const LEDGER_SWEEP_MS = 1_000;
const PEER_POLL_MS = 300;

/** Opens the listeners of a daemon and runs it until it has drained. */
export async function startDaemon(settings: Settings): Promise<Daemon> {
  const clock = () => performance.now();
  const drain = createDrain();
  const peers = new Map<string, Candidate & { service: string }>();
  const relay = createRelay({
    settings,
    clock,
    random: Math.random,
    isLeaving: () => drain.phase !== "serving",
    candidates: (service) =>
      [...peers.values()].filter((peer) => peer.service === service),
    serviceRule: () => undefined,
  });
  let finished = () => {};
  const done = new Promise<void>((resolve) => finished = resolve);
  const leave = () => beginDrain(drain, clock());
  const local = localApp({ relay, drain, leave });
  const peer = peerApp({ relay });
  const { daemon } = settings;
  const reserved = (app: RequestListener, other: RequestListener) =>
  (
    ...[request, response]: Parameters<RequestListener>
  ) => (request.url?.startsWith("/-/") ? app : other)(request, response);
  const servers = await Promise.all([
    listen(reserved(peer, (...pair) => handlePeer(relay, ...pair)), {
      host: daemon.address,
      port: daemon.peerPort,
    }),
    listen((...pair) => handleIngress(relay, ...pair), {
      host: daemon.address,
      port: daemon.ingressPort,
    }),
    listen(reserved(local, (...pair) => handleOutbound(relay, ...pair)), {
      host: daemon.localAddress,
      port: daemon.localPort,
    }),
  ]);
  createLogger("daemon")("listening", {
    address: daemon.address,
    ingress: daemon.ingressPort,
    peer: daemon.peerPort,
    local: daemon.localPort,
  });
  const learnPeers = () => pollPeers(relay, daemon.peers, peers);
  learnPeers();
  const timers = [
    setInterval(learnPeers, PEER_POLL_MS),
    setInterval(() => expireOpen(relay, clock()), DEADLINE_SWEEP_MS),
    setInterval(() => {
      if (relay.admission === null) return;
      const now = clock();
      startTickets(tick(relay.admission, now), now);
    }, ADMISSION_TICK_MS),
    setInterval(() => sweepLedger(relay.ledger, clock()), LEDGER_SWEEP_MS),
    setInterval(() => {
      const inFlight = relay.open.size + relay.parents.size;
      if (advanceDrain(drain, inFlight, clock()) === "drained") finished();
    }, ADMISSION_TICK_MS),
  ];
  const stop = async () => {
    leave();
    await done;
    for (const timer of timers) clearInterval(timer);
    for (const server of servers) server.close();
  };
  return { stop, done };
}

function listen(
  listener: RequestListener,
  { host, port }: { host: string; port: number },
): Promise<Server> {
  const server = createServer(listener);
  server.keepAliveTimeout = 60_000;
  return new Promise((resolve, reject) => {
    server.on("error", reject);
    server.listen(port, host, () => resolve(server));
  });
}
