import type { Logger } from "../core/logger.ts";
import { roundToHundredths } from "../core/round_to_hundredths.ts";
import type { CallGraph } from "../costs/call_graph.ts";
import { callsPerRun } from "../costs/calls_per_run.ts";
import { knownCallers } from "../costs/known_callers.ts";

/** Logs the known callers of each route where they have changed. */
export function logCallers(
  log: Logger,
  graph: CallGraph,
  /** Callers as last logged, by the route called; updated in place. */
  lastLogged: Map<string, string>,
): void {
  for (const called of graph.calls.keys()) {
    const callerRoutes = knownCallers(graph, called);
    const callers = callerRoutes.sort().join(",");
    if (callers === (lastLogged.get(called) ?? "")) continue;
    lastLogged.set(called, callers);
    log("callers-learned", {
      called,
      callers,
      callsPerRun: callerRoutes
        .map((route) => roundToHundredths(callsPerRun(graph, called, route)))
        .join(","),
    });
  }
}
