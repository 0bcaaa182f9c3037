import type { CallGraph } from "./call_graph.ts";
import { correlationOf } from "./correlation_of.ts";
import { recentEvents } from "./recent_events.ts";

/** Records that a run of a route at the local backend server has ended. */
export function recordRunEnd(
  graph: CallGraph,
  route: string,
  now: number,
): void {
  graph.recentEnds = recentEvents(graph.recentEnds, now);
  graph.recentEnds.push({ route, at: now });
  graph.recentReplies = recentEvents(graph.recentReplies, now);
  for (const called of graph.calls.keys()) {
    let replies = 0;
    for (const reply of graph.recentReplies) {
      if (reply.route === called) replies++;
    }
    const correlation = correlationOf(graph, called, route);
    correlation.ends++;
    correlation.excess += replies;
    // If replies are independent of run ends, as many are expected after the
    // end, with the same variance; hence the factor of 2.
    correlation.variance += 2 * replies * replies;
  }
}
