import type { Backend } from "../backend/backend.ts";
import type { Logger } from "../core/logger.ts";
import type { ClientConnections } from "../edge/client_connections.ts";
import type { Mesh } from "../mesh/mesh.ts";
import type { Origin } from "../origin/origin.ts";
import { delay } from "./delay.ts";
import { logOpenWork } from "./log_open_work.ts";

// Clients learn within two readiness checks, two seconds, that this daemon is
// leaving; until then they still open connections.
const CLIENTS_LEAVE_MS = 2_500;
// Other daemons learn it at once; what was under way to here arrives within
// this time.
const PEERS_LEAVE_MS = 500;
// Kept for closing before the process is killed.
const STOP_MARGIN_MS = 400;
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
    mesh,
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
    mesh: Pick<Mesh, "idle">;
    connections: ClientConnections;
    /** Tells the other daemons that the own server takes no more requests. */
    leave: () => void;
    /** From now on requests of other daemons are turned away. */
    refusePeers: () => void;
  },
): Promise<void> {
  const startedAt = steadyTime();
  const elapsed = () => steadyTime() - startedAt;
  const report = (event: "stopping" | "stop-waiting" | "stopped") =>
    logOpenWork(log, event, {
      elapsedMs: elapsed(),
      open: origin.open(),
      work: backend.work(),
    });
  const isIdle = () => {
    const { clients, nested } = origin.open();
    const { running, waiting } = backend.work();
    return clients + nested + running + waiting === 0 && mesh.idle();
  };

  report("stopping");
  connections.drain();
  let leaving = false;
  let refusing = false;
  let reportedAt = 0;
  while (elapsed() < gracePeriodMs - STOP_MARGIN_MS) {
    await delay(POLL_MS);
    if (elapsed() - reportedAt > PROGRESS_MS) {
      reportedAt = elapsed();
      report("stop-waiting");
    }
    // Until the clients have left, the server goes on serving others.
    if (!leaving && elapsed() > CLIENTS_LEAVE_MS - PEERS_LEAVE_MS) {
      leaving = true;
      leave();
    }
    if (elapsed() < CLIENTS_LEAVE_MS) continue;
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
