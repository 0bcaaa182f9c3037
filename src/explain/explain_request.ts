import type { LogLine } from "./log_line.ts";

// A change at most this long before the first decision may have caused it.
const CONTEXT_WINDOW_MS = 5_000;
const MAX_CONTEXT_LINES = 10;
// Events that report a state change of a daemon, its peers, servers or store,
// or that log lines were dropped.
const CONTEXT_EVENTS: ReadonlySet<string> = new Set([
  "started",
  "stopping",
  "stop-waiting",
  "stopped",
  "reloaded",
  "peer-lost",
  "peer-found",
  "server-changed",
  "server-lost",
  "server-replaced",
  "service-full",
  "service-has-room",
  "configuration-in-force",
  "configuration-unreadable",
  "store-lost",
  "store-regained",
  "log-dropped",
]);

/** Log lines of one request, and those that may explain its outcome. */
export type Explanation = {
  decisions: LogLine[];
  /** State changes of the same daemons, from the seconds before to the end. */
  context: LogLine[];
  /** The outcome in one sentence. */
  verdict: string;
};

/** Collects the log lines of all daemons about one request in order of time. */
export function explainRequest(
  lines: readonly LogLine[],
  id: string,
): Explanation {
  const decisions = lines.filter(({ fields }) => fields.get("id") === id)
    .sort((a, b) => a.at - b.at);
  const sources = new Set(decisions.map(({ source }) => source));
  const from = (decisions[0]?.at ?? 0) - CONTEXT_WINDOW_MS;
  const until = decisions.at(-1)?.at ?? 0;
  const context = lines.filter(({ at, source, event }) =>
    sources.has(source) && CONTEXT_EVENTS.has(event) && at >= from &&
    at <= until
  ).sort((a, b) => a.at - b.at).slice(-MAX_CONTEXT_LINES);
  const last = decisions.findLast(({ event }) => event.startsWith("request-"));
  return { decisions, context, verdict: verdictOf(last) };
}

const VERDICTS: Record<string, (field: (name: string) => string) => string> = {
  "request-answered": (field) =>
    `Server ${field("server")} of ${field("service")} answered with status ` +
    `${field("status")} after ${field("ms")} ms.`,
  "request-refused": (field) =>
    `It has not run: ${field("reason")}. Its client was told to retry ` +
    `after ${field("retryAfterMs")} ms.`,
  "request-failed": (field) =>
    `It may have run at server ${field("server")}: ${field("reason")} after ` +
    `${field("ms")} ms and ${field("attempts")} attempts.`,
  "request-cancelled": (field) =>
    `Its client closed the connection after ${field("ms")} ms.`,
  "request-unrouted": (field) =>
    `No route of configuration ${field("version")} has its host and path.`,
};

function verdictOf(line: LogLine | undefined): string {
  const describe = line && VERDICTS[line.event];
  if (line === undefined || describe === undefined) {
    return "No line tells its outcome; log lines are limited per second.";
  }
  return describe((name) => line.fields.get(name) ?? "(unknown)");
}
