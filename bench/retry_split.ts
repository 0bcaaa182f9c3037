// Compares the splitting policies of the retry budget over random call trees.
// Usage: node --import=tsx bench/retry_split.ts [SEED] [REQUESTS]
import process from "node:process";
import { seededRandom } from "../src/core/seeded_random.ts";
import type { AllocationPolicy } from "../src/retries/allocation_policy.ts";
import { allocationPolicies } from "../src/retries/allocation_policies.ts";
import { callTree } from "./call_tree.ts";
import { runRequest } from "./run_request.ts";
import { treeSize } from "./tree_size.ts";

const SPLITS = Object.keys(allocationPolicies) as AllocationPolicy[];
/** Offered load as a multiple of what the servers could complete without failures. */
const LOADS = [0.5, 1, 3];
const [seed = "1", requests = "2000"] = process.argv.slice(2);

type Case = { depth: number; failure: number; retries: number; lost: number };

/** Returns goodput per load as a share of the capacity without failures. */
function measure(
  split: AllocationPolicy,
  { depth, failure, retries, lost }: Case,
) {
  const trees = seededRandom(Number(seed));
  let done = 0;
  let executions = 0;
  let needed = 0;
  for (let request = 0; request < Number(requests); request++) {
    const tree = callTree(trees, { depth, failure });
    // Every policy meets the same trees; attempts draw from their own source.
    const random = seededRandom(Number(seed) * 1_000_003 + request);
    const run = runRequest(tree, { split, lostShare: lost, random, retries });
    if (run.retries > retries) throw new Error("The budget was exceeded");
    done += run.ok ? 1 : 0;
    executions += run.executions;
    needed += treeSize(tree);
  }
  const complete = done / Number(requests);
  return LOADS.map((load) => complete * Math.min(load, needed / executions));
}

function cases(): Case[] {
  return [3, 6, 12].flatMap((depth) =>
    [0.002, 0.01, 0.05].flatMap((failure) =>
      [0.1, 0.5].flatMap((lost) =>
        [2, 4, 10].map((retries) => ({ depth, failure, lost, retries }))
      )
    )
  );
}

const sums = new Map(SPLITS.map((split) => [split, LOADS.map(() => 0)]));
console.log(`Goodput at loads ${LOADS.join("/")} for ${SPLITS.join(", ")}`);
for (const { depth, failure, lost, retries } of cases()) {
  const results = SPLITS.map((split) =>
    measure(split, { depth, failure, retries, lost })
  );
  SPLITS.forEach((split, index) =>
    LOADS.forEach((_, load) => {
      const most = Math.max(...results.map((result) => result[load]!));
      sums.get(split)![load]! += results[index]![load]! / most;
    })
  );
  console.log(
    `depth=${depth} failure=${failure} lost=${lost} R=${retries} ` +
      results.map((result) =>
        result.map((goodput) => goodput.toFixed(3)).join("/")
      ).join(" "),
  );
}
console.log("Mean share of the best policy's goodput:");
for (const [split, sum] of sums) {
  const shares = sum.map((share) => 100 * share / cases().length);
  const mean = shares.reduce((left, right) => left + right) / LOADS.length;
  console.log(
    `${split}: ${shares.map((share) => share.toFixed(1)).join("/")} %, ` +
      `mean ${mean.toFixed(1)} %`,
  );
}
