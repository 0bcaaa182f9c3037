import type { Backend } from "../backend/backend.ts";
import type { Logger } from "../core/logger.ts";
import type { ClientConnections } from "../edge/client_connections.ts";
import type { Origin } from "../origin/origin.ts";
import { delay } from "./delay.ts";
import { logOpenWork } from "./log_open_work.ts";
import { planStop } from "./plan_stop.ts";

const POLL_MS = 50;
// How often the log says what the stop still waits for.
const PROGRESS_MS = 1_000;

/** Finishes what is open within the grace period, then returns. */
export async function stopInOrder(
  {
    gracePeriodMs,
    steadyTime,
    log,
    origin,
    backend,
    connections,
    leave,
    refusePeers,
  }: {
    /** Time until the process is killed. */
    gracePeriodMs: number;
    steadyTime: () => number;
    log: Logger;
    origin: Origin;
    backend: Backend;
    connections: ClientConnections;
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
      work: backend.work(),
    });
  const isIdle = () => {
    const { clients, nested } = origin.open();
    const { running, waiting } = backend.work();
    return clients + nested + running + waiting === 0;
  };

  report("stopping");
  origin.limitRuns(plan.runsEndAt);
  backend.limitRuns(plan.runsEndAt);
  connections.drain();
  let leaving = false;
  let refusing = false;
  let reportedAt = startedAt;
  let now = startedAt;
  while (now < plan.endAt) {
    await delay(POLL_MS);
    now = steadyTime();
    if (now - reportedAt > PROGRESS_MS) {
      reportedAt = now;
      report("stop-waiting");
    }
    // Until the clients have left, the server goes on serving others.
    if (!leaving && now > plan.leaveAt) {
      leaving = true;
      leave();
    }
    if (now < plan.refuseAt) continue;
    if (!refusing) {
      refusing = true;
      refusePeers();
      // Those that haven't heard of it keep coming, and would never end.
      origin.refuseClients();
    }
    connections.closeIdle();
    if (isIdle()) break;
  }
  report("stopped");
  const { clients, nested } = origin.open();
  if (clients + nested > 0) {
    origin.giveUp();
    await delay(POLL_MS);
  }
}
