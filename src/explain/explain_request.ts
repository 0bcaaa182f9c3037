import type { LogLine } from "./log_line.ts";

// What changed this long before a decision can have caused it.
const CONTEXT_MS = 5_000;
const MOST_CONTEXT = 10;
// Events that change what a daemon believes of servers, peers or the store.
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

/** The lines of one request, and those that may have led to its outcome. */
export type Explanation = {
  decisions: LogLine[];
  /** Lines of the daemons that decided, from the seconds before. */
  context: LogLine[];
  /** What happened, in a sentence. */
  verdict: string;
};

/** Gathers what the logs of all daemons say of one request, in order of time. */
export function explainRequest(
  lines: readonly LogLine[],
  id: string,
): Explanation {
  const decisions = lines.filter(({ fields }) => fields.get("id") === id)
    .sort((a, b) => a.at - b.at);
  const sources = new Set(decisions.map(({ source }) => source));
  const from = (decisions[0]?.at ?? 0) - CONTEXT_MS;
  const until = decisions.at(-1)?.at ?? 0;
  const context = lines.filter(({ at, source, event }) =>
    sources.has(source) && CONTEXT_EVENTS.has(event) && at >= from &&
    at <= until
  ).sort((a, b) => a.at - b.at).slice(-MOST_CONTEXT);
  const last = decisions.findLast(({ event }) => event.startsWith("request-"));
  return { decisions, context, verdict: verdictOf(last) };
}

const VERDICTS: Record<string, (field: (name: string) => string) => string> = {
  "request-answered": (field) =>
    `Server ${field("server")} of ${field("service")} answered with status ` +
    `${field("status")} after ${field("ms")} ms.`,
  "request-refused": (field) =>
    `It has not run: ${field("reason")}. Its client was told to come back ` +
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
    return "No line tells its outcome; the volume of lines is bounded.";
  }
  return describe((name) => line.fields.get(name) ?? "(unknown)");
}
