import type { Backend } from "../backend/backend.ts";
import type { Logger } from "../core/logger.ts";
import type { ClientConnections } from "../edge/client_connections.ts";
import type { Mesh } from "../mesh/mesh.ts";
import type { Origin } from "../origin/origin.ts";
import { delay } from "./delay.ts";
import { isLeaveDue } from "./is_leave_due.ts";
import { logOpenWork } from "./log_open_work.ts";
import { planStop } from "./plan_stop.ts";

const POLL_MS = 50;
// Other daemons learn at once that the server leaves; what was under way to
// here arrives within this time.
const PEERS_LEAVE_MS = 500;
// How often the log says what the stop still waits for.
const PROGRESS_MS = 1_000;

/** Finishes what is open within the grace period, then returns. */
export async function stopGracefully(
  {
    gracePeriodMs,
    steadyTime,
    log,
    origin,
    backend,
    mesh,
    connections,
    othersServe,
    leave,
    refusePeers,
  }: {
    /** Time until the process is killed. */
    gracePeriodMs: number;
    steadyTime: () => number;
    log: Logger;
    origin: Origin;
    backend: Backend;
    mesh: Pick<Mesh, "idle">;
    connections: ClientConnections;
    /** Whether other servers of the own service are in use. */
    othersServe: () => boolean;
    /** Tells the other daemons that the own server takes no more requests. */
    leave: () => void;
    /** From now on requests of other daemons are turned away. */
    refusePeers: () => void;
  },
): Promise<void> {
  const startedAt = steadyTime();
  const plan = planStop(startedAt, gracePeriodMs);
  const report = (event: "stopping" | "stop-waiting" | "stopped") =>
    logOpenWork(log, event, {
      elapsedMs: steadyTime() - startedAt,
      open: origin.open(),
      work: backend.occupancy(),
      unsent: connections.unsent(),
    });
  const isIdle = () => {
    const { clients, nested } = origin.open();
    const { running, waiting } = backend.occupancy();
    const open = clients + nested + running + waiting + connections.unsent();
    return open === 0 && mesh.idle();
  };

  report("stopping");
  origin.limit(plan);
  backend.setRunDeadline(plan.runsEndAt);
  connections.drain();
  let othersSince = othersServe() ? startedAt : null;
  let leftAt = Infinity;
  let refusingPeers = false;
  let reportedAt = startedAt;
  let now = startedAt;
  while (now < plan.endAt) {
    await delay(POLL_MS);
    now = steadyTime();
    if (now - reportedAt > PROGRESS_MS) {
      reportedAt = now;
      report("stop-waiting");
    }
    othersSince = othersServe() ? othersSince ?? now : null;
    if (
      leftAt === Infinity &&
      isLeaveDue(plan, now, { clients: origin.open().clients, othersSince })
    ) {
      leftAt = now;
      leave();
    }
    if (!refusingPeers && now - leftAt > PEERS_LEAVE_MS) {
      refusingPeers = true;
      refusePeers();
    }
    if (now < plan.refuseAt) continue;
    connections.closeIdle();
    if (refusingPeers && isIdle()) break;
  }
  report("stopped");
  const { clients, nested } = origin.open();
  if (clients + nested > 0) {
    origin.failOpenRequests();
    await delay(POLL_MS);
  }
}
