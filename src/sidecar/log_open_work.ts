import type { Occupancy } from "../backend/occupancy.ts";
import type { Logger } from "../core/logger.ts";
import type { OpenWork } from "../origin/open_work.ts";

/** Logs the requests that a stopping daemon still has to finish. */
export function logOpenWork(
  log: Logger,
  event: "stopping" | "stop-waiting" | "stopped",
  { elapsedMs, open, occupancy, unsent }: {
    /** Time since the stop began, in ms. */
    elapsedMs: number;
    open: OpenWork;
    occupancy: Occupancy;
    /** Replies that haven't been sent to their clients completely. */
    unsent: number;
  },
): void {
  const { clients, nested, oldest } = open;
  log(event, {
    ms: Math.round(elapsedMs),
    clients,
    nested,
    running: occupancy.running,
    waiting: occupancy.waiting,
    unsent,
    oldest: oldest?.id,
    route: oldest?.route,
    server: oldest?.server,
    oldestMs: oldest === null ? undefined : Math.round(oldest.ms),
  });
}
