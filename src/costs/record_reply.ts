import type { CallGraph } from "./call_graph.ts";
import { correlationOf } from "./correlation_of.ts";
import { recentEvents } from "./recent_events.ts";

/** Notes that the own server got the reply to a call that it made. */
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
