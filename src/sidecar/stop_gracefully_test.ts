import test from "ava";
import type { Backend } from "../backend/backend.ts";
import type { ClientConnections } from "../edge/client_connections.ts";
import type { Origin } from "../origin/origin.ts";
import { stopGracefully } from "./stop_gracefully.ts";

const NO_WORK = { clients: 0, nested: 0, oldest: null };

/**
 * Stops a daemon that has no open requests and whose links become idle at
 * `idleAtMs`; returns when the stop ended, in ms.
 */
async function stop(idleAtMs: number): Promise<number> {
  let now = 0;
  // The timers of a stop don't keep the process alive.
  const keepAliveTimer = setInterval(() => {}, 1_000);
  await stopGracefully({
    gracePeriodMs: 6_000,
    steadyTime: () => now += 50,
    log: () => {},
    origin: { open: () => NO_WORK, limit() {} } as never as Origin,
    backend: {
      occupancy: () => ({ running: 0, waiting: 0, limit: 1 }),
      setRunDeadline() {},
    } as never as Backend,
    mesh: { idle: () => now >= idleAtMs },
    othersAvailable: () => true,
    connections: {
      drain() {},
      closeIdle() {},
      unsent: () => 0,
    } as never as ClientConnections,
    announceLeaving() {},
    rejectPeers() {},
  });
  clearInterval(keepAliveTimer);
  return now;
}

// The response to another daemon was cut off if no other request was open when
// its run ended.
test("a stop waits until responses to other daemons are sent", async (t) => {
  const stoppedAt = await stop(4_000);
  t.true(stoppedAt >= 4_000 && stoppedAt < 5_000, `${stoppedAt} ms`);
});

test("unsent bytes don't extend a stop past the grace period", async (t) => {
  t.true(await stop(Infinity) < 6_000);
});
