import type { DependencyContainer } from "tsyringe";
import { tick } from "../admission/tick.ts";
import { checkStalls } from "../relay/check_stalls.ts";
import { expireOverdue } from "../relay/expire_overdue.ts";
import { applyQueueDecision } from "../relay/apply_queue_decision.ts";
import { updateServer } from "../relay/update_server.ts";
import { ContainerToken } from "./container_token.ts";

/** Precision of deadlines while requests are open. */
const BUSY_MS = 10;
/** An idle daemon wakes up less: 100 wakeups a second cost about 1% of a core. */
const IDLE_MS = 50;
const ADMISSION_TICK_MS = 50;
const STALL_CHECK_MS = 100;

/** Starts the frequent work of the data path; returns what ends it. */
export function startDataPathTimer(parts: DependencyContainer): () => void {
  const clock = parts.resolve(ContainerToken.clock);
  const relay = parts.resolve(ContainerToken.relay);
  const directory = parts.resolve(ContainerToken.directory);
  let tickedAt = 0;
  let checkedAt = 0;
  let timer: NodeJS.Timeout;
  const beat = () => {
    const now = clock();
    expireOverdue(relay, now);
    if (now - tickedAt >= ADMISSION_TICK_MS) {
      tickedAt = now;
      if (relay.admission !== null) {
        applyQueueDecision(tick(relay.admission, now), now);
      }
      // The directory notices when the heartbeats of the server end.
      const gone = directory.announcement === null && relay.server !== null;
      if (gone) updateServer(relay, null);
    }
    if (now - checkedAt >= STALL_CHECK_MS) {
      checkedAt = now;
      checkStalls(relay, now);
    }
    timer = setTimeout(beat, relay.open.size > 0 ? BUSY_MS : IDLE_MS);
  };
  beat();
  return () => clearTimeout(timer);
}
