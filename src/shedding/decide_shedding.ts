import { levelKey } from "./level_key.ts";
import type { ReportedLevel } from "./reported_level.ts";
import { levelAt } from "./level_at.ts";
import { PROBE_INTERVAL } from "./probe_interval.ts";
import type { Shedding } from "./shedding.ts";

/** A request and the daemons that could serve it. */
type Query = {
  service: string;
  daemons: readonly string[];
  priority: number;
  department?: string;
};

/** The daemons to exclude, or that the request is shed at the source. */
type SheddingDecision =
  | { kind: "open"; exclude: ReadonlySet<string> }
  | { kind: "probe"; exclude: ReadonlySet<string> }
  | { kind: "shed"; level: number };

const NONE: ReadonlySet<string> = new Set();

/**
 * Applies the reported levels of all daemons of a service. If all of them would
 * reject the request, it is shed at the source without a network hop. A share
 * of these requests is sent as probes to the daemon with the lowest level.
 */
export function decideShedding(
  shedding: Shedding,
  query: Query,
  now: number,
): SheddingDecision {
  const daemons = shedding.levels.get(query.service);
  if (daemons === undefined || query.daemons.length === 0) {
    return { kind: "open", exclude: NONE };
  }
  const { exclude, lowestDaemon, level } = findRejecting(daemons, query, now);
  if (exclude === null) return { kind: "open", exclude: NONE };
  if (exclude.size < query.daemons.length) return { kind: "open", exclude };
  const rejected = (shedding.rejected.get(query.service) ?? 0) + 1;
  const probe = rejected >= PROBE_INTERVAL;
  shedding.rejected.set(query.service, probe ? 0 : rejected);
  if (!probe) return { kind: "shed", level };
  exclude.delete(lowestDaemon);
  return { kind: "probe", exclude };
}

/**
 * Finds the daemons that would reject the request and the lowest level of all.
 */
function findRejecting(
  daemons: Map<string, ReportedLevel>,
  query: Query,
  now: number,
): { exclude: Set<string> | null; lowestDaemon: string; level: number } {
  let exclude: Set<string> | null = null;
  let lowestDaemon = "";
  let lowestLevel = Infinity;
  const { department, priority } = query;
  for (const daemon of query.daemons) {
    const level = levelAt(daemons.get(levelKey({ daemon, department })), now);
    if (level < lowestLevel) {
      lowestLevel = level;
      lowestDaemon = daemon;
    }
    if (priority < level) (exclude ??= new Set()).add(daemon);
  }
  return { exclude, lowestDaemon, level: lowestLevel };
}
