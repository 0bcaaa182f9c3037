import "reflect-metadata";
import type { DependencyContainer } from "tsyringe";
import { createLogger } from "../core/create_logger.ts";
import { advanceDrain } from "../drain/advance_drain.ts";
import { beginDrain } from "../drain/begin_drain.ts";
import { markGone } from "../membership/mark_gone.ts";
import { markLeaving } from "../membership/mark_leaving.ts";
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
  const container = createContainer(settings);
  const log = createLogger("daemon");
  const leave = () => {
    if (!beginLeaving(container)) return;
    listeners.ingress.retire();
    listeners.peer.retire();
  };
  const listeners = await openListeners(container, { leave });
  const stopTimers = startTimers(container);
  const { address, ingressPort, peerPort, localPort } = settings.daemon;
  log("listening", { address, ingressPort, peerPort, localPort });
  // Callers that keep sending would delay the end of the shutdown indefinitely.
  const onClosing = () => void listeners.ingress.close();
  const done = waitUntilDrained(container, { onClosing }).then(async () => {
    const { ingress, peer, local } = listeners;
    await Promise.all([ingress.close(), peer.close(), local.close()]);
    stopTimers();
    markGone(
      container.resolve(ContainerToken.directory),
      container.resolve(ContainerToken.clock)(),
    );
    await container.resolve(ContainerToken.gossiper).pushOwnEntry();
    log("stopped", { address });
    await closeConnections(container);
  });
  return { leave, done };
}

function beginLeaving(container: DependencyContainer): boolean {
  const now = container.resolve(ContainerToken.clock)();
  if (!beginDrain(container.resolve(ContainerToken.drain), now)) return false;
  createLogger("daemon")("leaving", {
    open: container.resolve(ContainerToken.relay).open.size,
  });
  markLeaving(container.resolve(ContainerToken.directory), now);
  container.resolve(ContainerToken.gossiper).pushOwnEntry();
  return true;
}

function waitUntilDrained(
  container: DependencyContainer,
  { onClosing }: { onClosing: () => void },
): Promise<void> {
  const drain = container.resolve(ContainerToken.drain);
  const relay = container.resolve(ContainerToken.relay);
  const clock = container.resolve(ContainerToken.clock);
  return new Promise((resolve) => {
    const timer = setInterval(() => {
      const inFlight = relay.open.size + relay.parents.size;
      const phase = advanceDrain(drain, inFlight, clock());
      if (phase === "closing") onClosing();
      if (phase !== "drained") return;
      clearInterval(timer);
      resolve();
    }, DRAIN_CHECK_MS);
  });
}
