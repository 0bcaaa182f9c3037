import type { CallTree } from "./call_tree.ts";

/** Returns the number of calls of a request that meets no failure. */
export function treeSize(tree: CallTree): number {
  return tree.groups.flat().reduce((sum, child) => sum + treeSize(child), 1);
}
