import type { DependencyContainer } from "tsyringe";
import { tick } from "../admission/tick.ts";
import { checkStalls } from "../relay/check_stalls.ts";
import { expireOverdue } from "../relay/expire_overdue.ts";
import { applyQueueDecision } from "../relay/apply_queue_decision.ts";
import { updateServer } from "../relay/update_server.ts";
import { ContainerToken } from "./container_token.ts";

/**
 * Interval while requests are open, which is the precision of their deadlines.
 */
const BUSY_INTERVAL_MS = 10;
/** Interval while idle: 100 wake-ups a second cost about 1% of a core. */
const IDLE_INTERVAL_MS = 50;
const ADMISSION_TICK_MS = 50;
const STALL_CHECK_MS = 100;

/**
 * Starts the timer of the data path for deadlines, admission and stall checks.
 * Returns a function that stops it.
 */
export function startDataPathTimer(container: DependencyContainer): () => void {
  const clock = container.resolve(ContainerToken.clock);
  const relay = container.resolve(ContainerToken.relay);
  const directory = container.resolve(ContainerToken.directory);
  let lastTickAt = 0;
  let lastStallCheckAt = 0;
  let timer: NodeJS.Timeout;
  const run = () => {
    const now = clock();
    expireOverdue(relay, now);
    if (now - lastTickAt >= ADMISSION_TICK_MS) {
      lastTickAt = now;
      if (relay.admission !== null) {
        applyQueueDecision(tick(relay.admission, now), now);
      }
      // The directory drops the announcement when the server's heartbeats
      // cease.
      const serverGone = directory.announcement === null &&
        relay.server !== null;
      if (serverGone) updateServer(relay, null);
    }
    if (now - lastStallCheckAt >= STALL_CHECK_MS) {
      lastStallCheckAt = now;
      checkStalls(relay, now);
    }
    timer = setTimeout(
      run,
      relay.open.size > 0 ? BUSY_INTERVAL_MS : IDLE_INTERVAL_MS,
    );
  };
  run();
  return () => clearTimeout(timer);
}
