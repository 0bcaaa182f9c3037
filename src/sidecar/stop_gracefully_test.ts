import test from "ava";
import type { Backend } from "../backend/backend.ts";
import type { ClientConnections } from "../edge/client_connections.ts";
import type { Origin } from "../origin/origin.ts";
import { stopGracefully } from "./stop_gracefully.ts";

const NO_WORK = { clients: 0, nested: 0, oldest: null };

/** Stops a daemon without work whose links are idle from a time on. */
async function stop(idleAtMs: number): Promise<number> {
  let now = 0;
  // The poll of a stop keeps no process alive.
  const alive = setInterval(() => {}, 1_000);
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
    othersServe: () => true,
    connections: {
      drain() {},
      closeIdle() {},
      unsent: () => 0,
    } as never as ClientConnections,
    leave() {},
    refusePeers() {},
  });
  clearInterval(alive);
  return now;
}

// An answer to another daemon was cut off where its run ended the last work.
test("a stop waits until answers to other daemons are sent", async (t) => {
  const stoppedAt = await stop(4_000);
  t.true(stoppedAt >= 4_000 && stoppedAt < 5_000, `${stoppedAt} ms`);
});

test("a stop doesn't wait for bytes beyond the grace period", async (t) => {
  t.true(await stop(Infinity) < 6_000);
});
