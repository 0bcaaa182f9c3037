import type { Attempt } from "./attempt.ts";
import type { Disturbance } from "./disturbance.ts";
import type { Departure } from "./departure.ts";

// Time after an acknowledged deregistration from which a server must get no requests.
const DRAIN_MS = 2_000;
// Time that the response may take after the deadline, at which a daemon abandons the request.
const RESPONSE_MS = 500;
// Time after a disturbance during which a daemon may still be affected by it.
const SETTLE_MS = 3_000;
// Statuses that guarantee that the request has not run.
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Executions of a request id over all servers. */
export type Runs = { count: number; lastAt: number; server: number };

/** Checks what clients and backend servers observed against the guarantees. */
export function findViolations(
  { ids, attempts, runs, disturbances, departures, lagMs }: {
    /** Ids of all requests that clients have sent. */
    ids: ReadonlySet<string>;
    attempts: readonly Attempt[];
    runs: ReadonlyMap<string, Runs>;
    disturbances: readonly Disturbance[];
    departures: readonly Departure[];
    /** Longest delay of the observing process's own timers, in ms. */
    lagMs: number;
  },
): string[] {
  const violations: string[] = [];
  const disturbed = (
    { vm, sentAt, endedAt }: Attempt,
    includePlanned: boolean,
  ) =>
    disturbances.some((disturbance) =>
      disturbance.vm === vm && (includePlanned || !disturbance.planned) &&
      disturbance.from <= endedAt && disturbance.to + SETTLE_MS >= sentAt
    );
  for (const attempt of attempts) {
    const { id, once, status, complete, deadlineMs } = attempt;
    const runCount = runs.get(id)?.count ?? 0;
    const tookMs = attempt.endedAt - attempt.sentAt;
    const summary = `${id} status ${status} after ${Math.round(tookMs)} ms`;
    if (once && runCount > 1) {
      violations.push(`ran ${runCount} times: ${summary}`);
    }
    if (NOT_RUN_STATUSES.has(status) && once && runCount > 0) {
      violations.push(`rejected, but ran: ${summary}`);
    }
    if (status === 200 && !complete) {
      violations.push(`wrong response body: ${summary}`);
    }
    if (status === 200 && runCount === 0) {
      violations.push(`status 200, but never ran: ${summary}`);
    }
    if (status === 0 && !disturbed(attempt, true)) {
      violations.push(`no response: ${summary}`);
    } else if (status === 0 && runCount > 0 && !disturbed(attempt, false)) {
      violations.push(`interrupted by a planned stop: ${summary}`);
    }
    if (
      tookMs > deadlineMs + RESPONSE_MS + lagMs && !disturbed(attempt, false)
    ) {
      violations.push(`response after the deadline: ${summary}`);
    }
  }
  for (const [id, { lastAt, server }] of runs) {
    const origin = id.replace(/(-n)+$/, "");
    if (!ids.has(origin)) violations.push(`${id} ran, but no client sent it`);
    const departure = departures.find((one) => one.server === server);
    if (
      departure !== undefined &&
      lastAt > departure.acknowledgedAt + DRAIN_MS + lagMs
    ) {
      const lateMs = Math.round(lastAt - departure.acknowledgedAt);
      violations.push(
        `${id} ran ${lateMs} ms after its server had deregistered`,
      );
    }
  }
  return violations;
}
