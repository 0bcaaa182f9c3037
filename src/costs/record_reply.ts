import type { CallGraph } from "./call_graph.ts";
import { correlationOf } from "./correlation_of.ts";
import { recentEvents } from "./recent_events.ts";

/** Records that the local backend server got the reply to one of its calls. */
export function recordReply(
  graph: CallGraph,
  route: string,
  now: number,
): void {
  graph.recentReplies = recentEvents(graph.recentReplies, now);
  graph.recentReplies.push({ route, at: now });
  graph.recentEnds = recentEvents(graph.recentEnds, now);
  for (const end of graph.recentEnds) {
    correlationOf(graph, route, end.route).excess--;
  }
}
