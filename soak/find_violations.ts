import type { Attempt } from "./attempt.ts";
import type { Disturbance } from "./disturbance.ts";
import type { Leaving } from "./leaving.ts";

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
    departures: readonly Leaving[];
    /** Longest delay of the observing process's own timers, in ms. */
    lagMs: number;
  },
): string[] {
  const found: string[] = [];
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
    const ran = runs.get(id)?.count ?? 0;
    const tookMs = attempt.endedAt - attempt.sentAt;
    const text = `${id} status ${status} after ${Math.round(tookMs)} ms`;
    if (once && ran > 1) found.push(`ran ${ran} times: ${text}`);
    if (NOT_RUN_STATUSES.has(status) && once && ran > 0) {
      found.push(`rejected, but ran: ${text}`);
    }
    if (status === 200 && !complete) found.push(`wrong response body: ${text}`);
    if (status === 200 && ran === 0) found.push(`200, but never ran: ${text}`);
    if (status === 0 && !disturbed(attempt, true)) {
      found.push(`no response: ${text}`);
    } else if (status === 0 && ran > 0 && !disturbed(attempt, false)) {
      found.push(`interrupted by a planned stop: ${text}`);
    }
    if (
      tookMs > deadlineMs + RESPONSE_MS + lagMs && !disturbed(attempt, false)
    ) {
      found.push(`response after the deadline: ${text}`);
    }
  }
  for (const [id, { lastAt, server }] of runs) {
    const origin = id.replace(/(-n)+$/, "");
    if (!ids.has(origin)) found.push(`${id} ran, but no client sent it`);
    const departure = departures.find((one) => one.server === server);
    if (
      departure !== undefined &&
      lastAt > departure.acknowledgedAt + DRAIN_MS + lagMs
    ) {
      const lateMs = Math.round(lastAt - departure.acknowledgedAt);
      found.push(
        `${id} ran ${lateMs} ms after its server had deregistered`,
      );
    }
  }
  return found;
}
