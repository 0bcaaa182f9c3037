import type { Attempt } from "./attempt.ts";
import type { Disturbance } from "./disturbance.ts";
import type { Departure } from "./departure.ts";

// A leaving server gets nothing this long after that was acknowledged.
const DRAIN_MS = 2_000;
// A request is given up at its deadline; this is the time for its answer.
const ANSWER_MS = 500;
// A daemon is taken as undisturbed this long after a disturbance.
const SETTLE_MS = 3_000;
// Final refusals that promise that the request has not run.
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Runs of a request id at all servers. */
export type Runs = { count: number; lastAt: number; server: number };

/** What clients and backend servers saw, set against what is promised. */
export function findViolations(
  { ids, attempts, runs, disturbances, departures: departures, lagMs }: {
    /** Ids of all requests that clients ever sent. */
    ids: ReadonlySet<string>;
    attempts: readonly Attempt[];
    runs: ReadonlyMap<string, Runs>;
    disturbances: readonly Disturbance[];
    departures: readonly Departure[];
    /** Longest time by which the observer itself was late, in ms. */
    lagMs: number;
  },
): string[] {
  const found: string[] = [];
  const disturbed = ({ vm, sentAt, endedAt }: Attempt, planned: boolean) =>
    disturbances.some((one) =>
      one.vm === vm && (planned || !one.planned) &&
      one.from <= endedAt && one.to + SETTLE_MS >= sentAt
    );
  for (const attempt of attempts) {
    const { id, once, status, complete: complete, deadlineMs } = attempt;
    const ran = runs.get(id)?.count ?? 0;
    const tookMs = attempt.endedAt - attempt.sentAt;
    const told = `${id} status ${status} after ${Math.round(tookMs)} ms`;
    if (once && ran > 1) found.push(`ran ${ran} times: ${told}`);
    if (NOT_RUN.has(status) && once && ran > 0) {
      found.push(`refused, but ran: ${told}`);
    }
    if (status === 200 && !complete) found.push(`another answer: ${told}`);
    if (status === 200 && ran === 0) found.push(`answered, never ran: ${told}`);
    if (status === 0 && !disturbed(attempt, true)) {
      found.push(`no answer: ${told}`);
    } else if (status === 0 && ran > 0 && !disturbed(attempt, false)) {
      found.push(`cut off by a planned stop: ${told}`);
    }
    if (
      tookMs > deadlineMs + ANSWER_MS + lagMs && !disturbed(attempt, false)
    ) {
      found.push(`answered late: ${told}`);
    }
  }
  for (const [id, { lastAt, server }] of runs) {
    const origin = id.replace(/(-n)+$/, "");
    if (!ids.has(origin)) found.push(`nobody asked for ${id}`);
    const left = departures.find((leaving) => leaving.server === server);
    if (left !== undefined && lastAt > left.acknowledgedAt + DRAIN_MS + lagMs) {
      const lateMs = Math.round(lastAt - left.acknowledgedAt);
      found.push(`${id} ran ${lateMs} ms after its server had left`);
    }
  }
  return found;
}
