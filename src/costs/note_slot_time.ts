import type { CallGraph } from "./call_graph.ts";

// Weight of the newest run in the mean, about the last 20 runs of a route.
const MEAN_WEIGHT = 0.05;

/** Takes the time in ms that a run of a route held its slot into the mean. */
export function noteSlotTime(
  { slotMs }: CallGraph,
  route: string,
  runMs: number,
): void {
  const mean = slotMs.get(route);
  slotMs.set(
    route,
    mean === undefined ? runMs : mean + MEAN_WEIGHT * (runMs - mean),
  );
}
