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

/** Which daemons to leave out, or that none would admit the request. */
type SheddingDecision =
  | { kind: "open"; exclude: ReadonlySet<string> }
  | { kind: "probe"; exclude: ReadonlySet<string> }
  | { kind: "shed"; level: number };

const NONE: ReadonlySet<string> = new Set();

/**
 * Applies the levels of a whole service: where all daemons would reject the
 * request, it is shed at the source without a hop, but for a share of probes,
 * which go to the daemon with the lowest level.
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
  const { exclude, lowest, level } = rejecting(daemons, query, now);
  if (exclude === null) return { kind: "open", exclude: NONE };
  if (exclude.size < query.daemons.length) return { kind: "open", exclude };
  const rejected = (shedding.rejected.get(query.service) ?? 0) + 1;
  const probe = rejected >= PROBE_INTERVAL;
  shedding.rejected.set(query.service, probe ? 0 : rejected);
  if (!probe) return { kind: "shed", level };
  exclude.delete(lowest);
  return { kind: "probe", exclude };
}

function rejecting(
  daemons: Map<string, ReportedLevel>,
  query: Query,
  now: number,
): { exclude: Set<string> | null; lowest: string; level: number } {
  let exclude: Set<string> | null = null;
  let lowest = "";
  let least = Infinity;
  const { department, priority } = query;
  for (const daemon of query.daemons) {
    const level = levelAt(daemons.get(levelKey({ daemon, department })), now);
    if (level < least) {
      least = level;
      lowest = daemon;
    }
    if (priority < level) (exclude ??= new Set()).add(daemon);
  }
  return { exclude, lowest, level: least };
}
