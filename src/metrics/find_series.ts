import type { Family } from "./family.ts";
import type { Labels } from "./labels.ts";

type Node<Series> = Map<string, Node<Series>> | Series | undefined;

/**
 * Returns the series of a label combination, or undefined if there is none yet.
 * A missing label counts as empty.
 */
export function findSeries<Series>(
  family: Family<Series>,
  labels: Labels,
): Series | undefined {
  let node = family.root as Node<Series>;
  for (const name of family.labelNames) {
    if (node === undefined) return undefined;
    node = (node as Map<string, Node<Series>>).get(labels[name] ?? "");
  }
  return node as Series | undefined;
}
