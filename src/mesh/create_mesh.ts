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

// An answer takes a few ms; the rest is room for a peer that is short of
// processor time. A link that went silent holds up its calls this long.
const SILENCE_MS = 1_500;
// A link that owes an answer to a ping for this long gets no new calls.
const SUSPECT_MS = 400;
// The first message goes out with the connection; the rest is room for a daemon
// that starts and is short of processor time.
const INTRODUCTION_MS = 3_000;
// As long as a silent link: one that takes no bytes is as good as cut, also
// where some still come from it.
const BLOCKED_MS = SILENCE_MS;
// A gap between two ticks above this means that this process stood still; the
// links had no chance to show life.
const PAUSE_MS = 1_000;
// A daemon that stays away this long has been replaced.
const FORGET_MS = 60_000;

type Accepted = ReturnType<typeof acceptLink>;
type Serve = Parameters<typeof acceptLink>[1]["serve"];

/** Listens for other daemons and keeps a link to each that is known. */
export function createMesh(
  {
    host,
    port,
    ownEntry: self,
    steadyTime,
    log,
    metrics,
    budget,
    serve,
    configuration,
    onConfig,
    onConfigConfirmed: onConfirmed,
    onDeparted,
    onLinkTimeout: onSilence,
    random,
  }: {
    host: string;
    port: number;
    ownEntry: () => DaemonEntry;
    steadyTime: () => number;
    log: Logger;
    metrics: Metrics;
    /** Account of what all links hold of unfinished and unsent bodies. */
    budget: ByteBudget;
    serve: Serve;
    /** The configuration in force, as the operator wrote it. */
    configuration: () => { version: number; bytes: Uint8Array } | null;
    onConfig: (version: number, bytes: Uint8Array) => void;
    /** A watcher of the store has no newer configuration than this daemon. */
    onConfigConfirmed: () => void;
    /** The own server had left before this process started, says a peer. */
    onDeparted: (departure: { id: string; startedAt: number }) => void;
    /** A link went silent; other connections may have gone the same way. */
    onLinkTimeout: () => void;
    random: Random;
  },
): Mesh {
  const peers = new Map<string, Peer>();
  const accepted = new Set<Accepted>();
  // Built anew when it is asked for after a peer has changed.
  let index: PeerIndex | null = null;
  let nextStream = 0;
  let tickedAt = steadyTime();

  const handOver = (link: Link, version: number) => {
    const current = configuration();
    if (current !== null && current.version > version) {
      link.send(["config", current.version, current.bytes]);
    }
  };
  const neighbours = () => {
    const { dataCentre } = self();
    return [...accepted].filter(({ entry }) =>
      entry?.dataCentre === dataCentre
    );
  };
  const open = (peer: Peer) =>
    openPeerLink(peer, {
      steadyTime,
      log,
      metrics,
      budget,
      hello: self,
      onConfig,
      onDeparted,
      onConfigCurrent({ link }, version) {
        const own = configuration()?.version ?? 0;
        if (version > own) link!.send(["config-wanted", own]);
        else onConfirmed();
      },
      onEntry({ link, entry }) {
        index = null;
        handOver(link!, entry!.routeVersion);
      },
      onLost() {
        index = null;
      },
      onPeers: (addresses) => addresses.forEach(meet),
    });
  const meet = (address: string) => {
    if (address === self().address || peers.has(address)) return;
    const peer = createPeer(address);
    peers.set(address, peer);
    open(peer);
  };

  const server = createServer((socket) => {
    // A closed socket no longer tells it.
    const from = socket.remoteAddress;
    accepted.add(acceptLink(socket, {
      steadyTime,
      log,
      budget,
      entry: self,
      serve,
      onConfig,
      onConfigWanted: handOver,
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
        handOver(link, entry.routeVersion);
        const known = peers.get(entry.address);
        if (known?.departure) {
          const { id, startedAt } = known.departure;
          link.send(["departed", id, startedAt]);
        }
        if (known === undefined) meet(entry.address);
        else known.retryAt = 0;
      },
    }));
  });
  server.on("error", ({ message }) => log("mesh-listen-failed", { message }));
  server.listen({ host, port });

  return {
    peers,
    index: () => index ??= indexPeers(peers.values()),
    addPeer: meet,
    announce() {
      const entry = self();
      for (const { link } of accepted) link.send(["entry", entry]);
    },
    shareConfiguration() {
      for (const { link } of neighbours()) handOver(link, 0);
    },
    confirmConfiguration(version) {
      for (const { link } of neighbours()) {
        link.send(["config-current", version]);
      }
    },
    reportLoad(load, runMs) {
      const now = steadyTime();
      for (const { link, told } of accepted) {
        if (!isReportDue(told, { load, runMs, others: accepted.size }, now)) {
          continue;
        }
        Object.assign(told, { load, runMs, at: now });
        link.send(["load", load, runMs]);
      }
    },
    requestConfiguration(version) {
      const linked = [...peers.values()].filter(({ link }) => link !== null);
      if (linked.length === 0) return;
      const peer = linked[Math.floor(random() * linked.length)]!;
      peer.link!.send(["config-wanted", version]);
    },
    call(peer, request, onOutcome, onSilence) {
      const { link } = peer;
      if (link === null) {
        onOutcome(
          { kind: "not-run", reason: "no-server", arrived: false },
          null,
        );
        return () => {};
      }
      const stream = nextStream++;
      peer.calls.set(stream, { onOutcome, onSilence });
      const head = writeCallHead(request);
      const remainingMs = () =>
        Math.max(0, Math.floor(request.expiresAt - steadyTime()));
      const fits = link.sendBody(stream, request.body, (bytes, ...total) => [
        "request",
        stream,
        head,
        remainingMs(),
        bytes,
        ...total,
      ]);
      if (!fits) {
        // The caller gets the function that cancels before the outcome.
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
      const paused = now - tickedAt > PAUSE_MS;
      tickedAt = now;
      for (const { entry, openedAt, link } of [...accepted]) {
        closeBlocked(link, now, paused);
        if (entry === null && !paused) closeUnintroduced(link, openedAt, now);
      }
      for (const peer of peers.values()) {
        if (peer.link !== null) closeBlocked(peer.link, now, paused);
        if (peer.link !== null && peer.entry === null && !paused) {
          closeUnintroduced(peer.link, peer.openedAt, now);
        }
        if (peer.link !== null) {
          const quietMs = pingDelay(peer.calls.size, peers.size);
          if (!checkLink(peer, { now, paused, quietMs })) onSilence();
        } else if (
          peer.downSince !== null && now - peer.downSince > FORGET_MS
        ) {
          peers.delete(peer.address);
        } else if (!peer.connecting && now >= peer.retryAt) open(peer);
      }
    },
  };
}

/** Closes a link whose other side should have said by now who it is. */
function closeUnintroduced(link: Link, openedAt: number, now: number): void {
  if (now - openedAt > INTRODUCTION_MS) link.close("not introduced");
}

/** Closes a link whose other side reads nothing. */
function closeBlocked(link: Link, now: number, paused: boolean): void {
  if (paused) link.restartBlockedTimers();
  const since = link.blockedSince();
  if (since !== null && now - since > BLOCKED_MS) link.close("not read");
}

/** Pings a quiet link; closes one that doesn't answer and returns false. */
function checkLink(
  peer: Peer,
  { now, paused, quietMs }: { now: number; paused: boolean; quietMs: number },
): boolean {
  const link = peer.link!;
  if (peer.pingedAt !== null && link.lastActivityAt > peer.pingedAt) {
    peer.pingedAt = null;
  }
  if (paused) peer.pingedAt = null;
  if (peer.pingedAt === null) peer.suspect = false;
  if (peer.pingedAt !== null) {
    if (!peer.suspect && now - peer.pingedAt > SUSPECT_MS) {
      peer.suspect = true;
      for (const { onSilence } of [...peer.calls.values()]) onSilence();
    }
    if (now - peer.pingedAt <= SILENCE_MS) return true;
    link.close("silent");
    return false;
  }
  if (now - link.lastActivityAt > quietMs) {
    peer.pingedAt = now;
    link.send(["ping"]);
  }
  return true;
}
