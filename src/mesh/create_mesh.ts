import type { ByteBudget } from "../core/byte_budget.ts";
import type { Random } from "../core/random.ts";
import { createServer } from "node:net";
import type { Logger } from "../core/logger.ts";
import type { Metrics } from "../metrics/metrics.ts";
import { acceptLink } from "./accept_link.ts";
import { createPeer } from "./create_peer.ts";
import type { DaemonEntry } from "./daemon_entry.ts";
import type { Link } from "./link.ts";
import { indexPeers } from "./index_peers.ts";
import { isReportDue } from "./is_report_due.ts";
import type { Mesh } from "./mesh.ts";
import { openPeerLink } from "./open_peer_link.ts";
import { writeCallHead } from "./write_call_head.ts";
import type { Peer } from "./peer.ts";
import { pingDelay } from "./ping_delay.ts";
import type { PeerIndex } from "./peer_index.ts";

// A ping is answered within a few ms; the rest is margin for a peer that is
// short of CPU time. Calls on a broken link are delayed by this time.
const PING_TIMEOUT_MS = 1_500;
// A peer whose ping has been unanswered for this long gets no new calls while
// others can serve them.
const SUSPECT_AFTER_MS = 400;
// A daemon sends its first message as soon as the connection is open; the rest
// is margin for one that is starting and short of CPU time.
const HANDSHAKE_TIMEOUT_MS = 3_000;
// Same as the ping time-out: a peer that doesn't read is treated as
// disconnected, even if it still sends.
const MAX_BLOCKED_MS = PING_TIMEOUT_MS;
// A longer gap between two ticks means that this process was paused. It could
// not read from its links meanwhile, so their time-outs must not expire.
const PROCESS_PAUSE_MS = 1_000;
// A daemon that can't be reached for this long is taken to have been replaced.
const PEER_EXPIRY_MS = 60_000;
// A peer takes two descriptors, one for each direction, and daemons may open
// 4,096 files on the smallest VMs.
const MAX_PEERS = 1_500;

type AcceptedLink = ReturnType<typeof acceptLink>;
type Serve = Parameters<typeof acceptLink>[1]["serve"];

/** Listens for other daemons and keeps a link open to each known one. */
export function createMesh(
  {
    host,
    port,
    ownEntry,
    steadyTime,
    log,
    metrics,
    budget,
    serve,
    configuration,
    onConfig,
    onConfigConfirmed,
    onDeparted,
    onLinkTimeout,
    random,
  }: {
    host: string;
    port: number;
    ownEntry: () => DaemonEntry;
    steadyTime: () => number;
    log: Logger;
    metrics: Metrics;
    /** Memory budget for the incomplete and unsent bodies of all links. */
    budget: ByteBudget;
    serve: Serve;
    /** The configuration in force, as the operator wrote it. */
    configuration: () => { version: number; bytes: Uint8Array } | null;
    onConfig: (version: number, bytes: Uint8Array) => void;
    /** A store watcher has no newer configuration than this daemon. */
    onConfigConfirmed: () => void;
    /**
     * A peer reports that the own backend server announced its departure
     * before this process started.
     */
    onDeparted: (departure: { id: string; startedAt: number }) => void;
    /** A ping timed out; other connections may be broken in the same way. */
    onLinkTimeout: () => void;
    random: Random;
  },
): Mesh {
  const peers = new Map<string, Peer>();
  const accepted = new Set<AcceptedLink>();
  // Null after a peer has changed, until the index is next requested.
  let index: PeerIndex | null = null;
  let nextStream = 0;
  let tickedAt = steadyTime();

  const sendNewerConfiguration = (link: Link, version: number) => {
    const current = configuration();
    if (current !== null && current.version > version) {
      link.send(["config", current.version, current.bytes]);
    }
  };
  /** Links opened by daemons of the own data centre. */
  const localLinks = () => {
    const { dataCentre } = ownEntry();
    return [...accepted].filter(({ entry }) =>
      entry?.dataCentre === dataCentre
    );
  };
  const connect = (peer: Peer) =>
    openPeerLink(peer, {
      steadyTime,
      log,
      metrics,
      budget,
      hello: ownEntry,
      onConfig,
      onDeparted,
      onConfigCurrent({ link }, version) {
        const ownVersion = configuration()?.version ?? 0;
        if (version > ownVersion) link!.send(["config-wanted", ownVersion]);
        else onConfigConfirmed();
      },
      onEntry({ link, entry }) {
        index = null;
        sendNewerConfiguration(link!, entry!.routeVersion);
      },
      onLost() {
        index = null;
      },
      onPeers: (addresses) => addresses.forEach(addPeer),
    });
  const addPeer = (address: string) => {
    if (address === ownEntry().address || peers.has(address)) return;
    if (peers.size >= MAX_PEERS) {
      log("peer-limit-reached", { address, peers: peers.size });
      return;
    }
    const peer = createPeer(address);
    peers.set(address, peer);
    connect(peer);
  };

  const server = createServer((socket) => {
    // Kept, since a closed socket no longer has it.
    const from = socket.remoteAddress;
    accepted.add(acceptLink(socket, {
      steadyTime,
      log,
      metrics,
      budget,
      entry: ownEntry,
      serve,
      onConfig,
      onConfigWanted: sendNewerConfiguration,
      onClose(closed, reason) {
        accepted.delete(closed);
        log("link-closed", {
          from,
          peer: closed.entry?.name,
          reason,
        });
      },
      onHello({ link }, entry) {
        if (entry.alone) link.send(["peers", [...peers.keys()]]);
        sendNewerConfiguration(link, entry.routeVersion);
        const known = peers.get(entry.address);
        if (known?.departure) {
          const { id, startedAt } = known.departure;
          link.send(["departed", id, startedAt]);
        }
        if (known === undefined) addPeer(entry.address);
        else known.retryAt = 0;
      },
    }));
  });
  server.on("error", ({ message }) => log("mesh-listen-failed", { message }));
  server.listen({ host, port });

  return {
    peers,
    index: () => index ??= indexPeers(peers.values()),
    addPeer,
    announce() {
      const entry = ownEntry();
      for (const { link } of accepted) link.send(["entry", entry]);
    },
    shareConfiguration() {
      for (const { link } of localLinks()) sendNewerConfiguration(link, 0);
    },
    confirmConfiguration(version) {
      for (const { link } of localLinks()) {
        link.send(["config-current", version]);
      }
    },
    reportLoad(load, runMs) {
      const now = steadyTime();
      for (const { link, reportState } of accepted) {
        if (
          !isReportDue(reportState, { load, runMs, links: accepted.size }, now)
        ) {
          continue;
        }
        Object.assign(reportState, { load, runMs, at: now });
        link.send(["load", load, runMs]);
      }
    },
    requestConfiguration(version) {
      const connected = [...peers.values()].filter(({ link }) => link !== null);
      if (connected.length === 0) return;
      const peer = connected[Math.floor(random() * connected.length)]!;
      peer.link!.send(["config-wanted", version]);
    },
    call(peer, request, onOutcome, onSuspect) {
      const { link } = peer;
      if (link === null) {
        onOutcome(
          { kind: "not-run", reason: "no-server", arrived: false },
          null,
        );
        return () => {};
      }
      const stream = nextStream++;
      peer.calls.set(stream, { onOutcome, onSuspect });
      const head = writeCallHead(request);
      const remainingMs = () =>
        Math.max(0, Math.floor(request.expiresAt - steadyTime()));
      const queued = link.sendBody(stream, request.body, (bytes, ...total) => [
        "request",
        stream,
        head,
        remainingMs(),
        bytes,
        ...total,
      ]);
      if (!queued) {
        // Deferred, so that the caller has the cancel function first.
        queueMicrotask(() => {
          if (!peer.calls.delete(stream)) return;
          onOutcome(
            { kind: "not-run", reason: "no-room", arrived: false },
            null,
          );
        });
        return () => peer.calls.delete(stream);
      }
      peer.callsSinceReport++;
      return () => {
        if (!peer.calls.delete(stream)) return;
        link.cancelBody(stream);
        link.dropBody(stream);
        link.send(["cancel", stream]);
      };
    },
    idle: () =>
      [...accepted, ...peers.values()].every(({ link }) =>
        link === null || link.idle()
      ),
    tick() {
      const now = steadyTime();
      const paused = now - tickedAt > PROCESS_PAUSE_MS;
      tickedAt = now;
      for (const { entry, openedAt, link } of [...accepted]) {
        closeIfBlocked(link, now, paused);
        if (entry === null && !paused) closeIfUnidentified(link, openedAt, now);
      }
      for (const peer of peers.values()) {
        if (peer.link !== null) closeIfBlocked(peer.link, now, paused);
        if (peer.link !== null && peer.entry === null && !paused) {
          closeIfUnidentified(peer.link, peer.openedAt, now);
        }
        if (peer.link !== null) {
          const pingDelayMs = pingDelay(peer.calls.size, peers.size);
          if (!checkPing(peer, { now, paused, pingDelayMs })) onLinkTimeout();
        } else if (
          peer.downSince !== null && now - peer.downSince > PEER_EXPIRY_MS
        ) {
          peers.delete(peer.address);
        } else if (!peer.connecting && now >= peer.retryAt) connect(peer);
      }
    },
  };
}

/** Closes a link whose peer hasn't sent its entry in time. */
function closeIfUnidentified(link: Link, openedAt: number, now: number): void {
  if (now - openedAt > HANDSHAKE_TIMEOUT_MS) link.close("handshake timed out");
}

/** Closes a link whose peer has stopped reading. */
function closeIfBlocked(link: Link, now: number, paused: boolean): void {
  if (paused) link.restartBlockedTimers();
  const since = link.blockedSince();
  if (since !== null && now - since > MAX_BLOCKED_MS) link.close("not reading");
}

/** Pings an inactive link; closes it and returns false if a ping timed out. */
function checkPing(
  peer: Peer,
  { now, paused, pingDelayMs }: {
    now: number;
    paused: boolean;
    pingDelayMs: number;
  },
): boolean {
  const link = peer.link!;
  if (peer.pingedAt !== null && link.lastActivityAt > peer.pingedAt) {
    peer.pingedAt = null;
  }
  if (paused) peer.pingedAt = null;
  if (peer.pingedAt === null) peer.suspect = false;
  if (peer.pingedAt !== null) {
    if (!peer.suspect && now - peer.pingedAt > SUSPECT_AFTER_MS) {
      peer.suspect = true;
      for (const { onSuspect } of [...peer.calls.values()]) onSuspect();
    }
    if (now - peer.pingedAt <= PING_TIMEOUT_MS) return true;
    link.close("silent");
    return false;
  }
  if (now - link.lastActivityAt > pingDelayMs) {
    peer.pingedAt = now;
    link.send(["ping"]);
  }
  return true;
}
