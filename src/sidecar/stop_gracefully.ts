import type { Backend } from "../backend/backend.ts";
import type { Logger } from "../core/logger.ts";
import type { ClientConnections } from "../edge/client_connections.ts";
import type { Mesh } from "../mesh/mesh.ts";
import type { Origin } from "../origin/origin.ts";
import { delay } from "./delay.ts";
import { isLeaveDue } from "./is_leave_due.ts";
import { logOpenWork } from "./log_open_work.ts";
import { planStop } from "./plan_stop.ts";

const POLL_INTERVAL_MS = 50;
// Other daemons learn immediately that the server is leaving; requests already
// on their way arrive within this time.
const PEER_DRAIN_MS = 500;
// Interval of the log lines that tell what the stop still waits for.
const PROGRESS_INTERVAL_MS = 1_000;

/** Lets open requests finish within the grace period, then returns. */
export async function stopGracefully(
  {
    gracePeriodMs,
    steadyTime,
    log,
    origin,
    backend,
    mesh,
    connections,
    othersAvailable,
    announceLeaving,
    rejectPeers,
  }: {
    /** Time until the process is killed. */
    gracePeriodMs: number;
    steadyTime: () => number;
    log: Logger;
    origin: Origin;
    backend: Backend;
    mesh: Pick<Mesh, "idle">;
    connections: ClientConnections;
    /** Whether other servers of the same service are available. */
    othersAvailable: () => boolean;
    /** Tells other daemons that the local server takes no more requests. */
    announceLeaving: () => void;
    /** Starts to reject requests of other daemons. */
    rejectPeers: () => void;
  },
): Promise<void> {
  const startedAt = steadyTime();
  const plan = planStop(startedAt, gracePeriodMs);
  const logProgress = (event: "stopping" | "stop-waiting" | "stopped") =>
    logOpenWork(log, event, {
      elapsedMs: steadyTime() - startedAt,
      open: origin.open(),
      occupancy: backend.occupancy(),
      unsent: connections.unsent(),
    });
  const isIdle = () => {
    const { clients, nested } = origin.open();
    const { running, waiting } = backend.occupancy();
    const open = clients + nested + running + waiting + connections.unsent();
    return open === 0 && mesh.idle();
  };

  logProgress("stopping");
  origin.limit(plan);
  backend.setRunDeadline(plan.runsEndAt);
  connections.drain();
  let othersAvailableSince = othersAvailable() ? startedAt : null;
  let leftAt = Infinity;
  let rejectingPeers = false;
  let reportedAt = startedAt;
  let now = startedAt;
  while (now < plan.endAt) {
    await delay(POLL_INTERVAL_MS);
    now = steadyTime();
    if (now - reportedAt > PROGRESS_INTERVAL_MS) {
      reportedAt = now;
      logProgress("stop-waiting");
    }
    othersAvailableSince = othersAvailable()
      ? othersAvailableSince ?? now
      : null;
    if (
      leftAt === Infinity &&
      isLeaveDue(plan, now, {
        clients: origin.open().clients,
        othersAvailableSince,
      })
    ) {
      leftAt = now;
      announceLeaving();
    }
    if (!rejectingPeers && now - leftAt > PEER_DRAIN_MS) {
      rejectingPeers = true;
      rejectPeers();
    }
    if (now < plan.refuseAt) continue;
    connections.closeIdle();
    if (rejectingPeers && isIdle()) break;
  }
  logProgress("stopped");
  const { clients, nested } = origin.open();
  if (clients + nested > 0) {
    origin.failOpenRequests();
    await delay(POLL_INTERVAL_MS);
  }
}
