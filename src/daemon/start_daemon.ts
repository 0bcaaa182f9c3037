import "reflect-metadata";
import type { DependencyContainer } from "tsyringe";
import { createLogger } from "../core/create_logger.ts";
import { advanceDrain } from "../drain/advance_drain.ts";
import { beginDrain } from "../drain/begin_drain.ts";
import { markGone } from "../membership/mark_gone.ts";
import { markLeaving as leaveDirectory } from "../membership/mark_leaving.ts";
import type { Settings } from "../settings/settings.ts";
import { closeConnections } from "./close_connections.ts";
import { createContainer } from "./create_container.ts";
import { openListeners } from "./open_listeners.ts";
import { startTimers } from "./start_timers.ts";
import { ContainerToken } from "./container_token.ts";

/** A running daemon. */
type Daemon = {
  /** Begins the planned shutdown. */
  leave(): void;
  /** Settles when the planned shutdown is complete. */
  done: Promise<void>;
};

const DRAIN_CHECK_MS = 50;

/**
 * Opens the listeners of a daemon and runs it until its planned shutdown is
 * complete. Rejects if a listener cannot be opened.
 */
export async function startDaemon(settings: Settings): Promise<Daemon> {
  const parts = createContainer(settings);
  const log = createLogger("daemon");
  const leave = () => {
    if (!beginLeaving(parts)) return;
    listeners.ingress.retire();
    listeners.peer.retire();
  };
  const listeners = await openListeners(parts, { leave });
  const stopTimers = startTimers(parts);
  const { address, ingressPort, peerPort, localPort } = settings.daemon;
  log("listening", { address, ingressPort, peerPort, localPort });
  // Callers that go on sending would keep a leaving daemon for ever.
  const closing = () => void listeners.ingress.close();
  const done = waitUntilDrained(parts, { closing }).then(async () => {
    const { ingress, peer, local } = listeners;
    await Promise.all([ingress.close(), peer.close(), local.close()]);
    stopTimers();
    markGone(
      parts.resolve(ContainerToken.directory),
      parts.resolve(ContainerToken.clock)(),
    );
    await parts.resolve(ContainerToken.gossiper).pushOwnEntry();
    log("stopped", { address });
    await closeConnections(parts);
  });
  return { leave, done };
}

function beginLeaving(parts: DependencyContainer): boolean {
  const now = parts.resolve(ContainerToken.clock)();
  if (!beginDrain(parts.resolve(ContainerToken.drain), now)) return false;
  createLogger("daemon")("leaving", {
    open: parts.resolve(ContainerToken.relay).open.size,
  });
  leaveDirectory(parts.resolve(ContainerToken.directory), now);
  parts.resolve(ContainerToken.gossiper).pushOwnEntry();
  return true;
}

function waitUntilDrained(
  parts: DependencyContainer,
  { closing }: { closing: () => void },
): Promise<void> {
  const drain = parts.resolve(ContainerToken.drain);
  const relay = parts.resolve(ContainerToken.relay);
  const clock = parts.resolve(ContainerToken.clock);
  return new Promise((resolve) => {
    const timer = setInterval(() => {
      const inFlight = relay.open.size + relay.parents.size;
      const phase = advanceDrain(drain, inFlight, clock());
      if (phase === "closing") closing();
      if (phase !== "drained") return;
      clearInterval(timer);
      resolve();
    }, DRAIN_CHECK_MS);
  });
}
