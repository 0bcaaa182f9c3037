import type { Occupancy } from "../backend/occupancy.ts";
import type { Logger } from "../core/logger.ts";
import type { OpenWork } from "../origin/open_work.ts";

/** Writes what a stopping daemon still has to finish, and for whom. */
export function logOpenWork(
  log: Logger,
  event: "stopping" | "stop-waiting" | "stopped",
  { elapsedMs, open, work, unsent }: {
    /** Time since the stop began, in ms. */
    elapsedMs: number;
    open: OpenWork;
    work: Occupancy;
    /** Replies that clients haven't taken whole. */
    unsent: number;
  },
): void {
  const { clients, nested, oldest } = open;
  log(event, {
    ms: Math.round(elapsedMs),
    clients,
    nested,
    running: work.running,
    waiting: work.waiting,
    unsent,
    oldest: oldest?.id,
    route: oldest?.route,
    server: oldest?.server,
    oldestMs: oldest === null ? undefined : Math.round(oldest.ms),
  });
}
