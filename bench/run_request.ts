import type { Random } from "../src/core/random.ts";
import type { Account } from "../src/retries/account.ts";
import { allocate } from "../src/retries/allocate.ts";
import { closeAccount } from "../src/retries/close_account.ts";
import { openAccount } from "../src/retries/open_account.ts";
import { reclaim } from "../src/retries/reclaim.ts";
import { spend } from "../src/retries/spend.ts";
import type { AllocationPolicy } from "../src/retries/allocation_policy.ts";
import type { CallTree } from "./call_tree.ts";

type Model = { split: AllocationPolicy; lostShare: number; random: Random };
type Tally = { executions: number; retries: number };
type Attempt = { ok: boolean; lost: boolean; unspent: number };

/** Runs one request of the retry model; returns whether it completed, and its work. */
export function runRequest(
  tree: CallTree,
  { retries: held, ...model }: Model & { retries: number },
): { ok: boolean } & Tally {
  const tally = { executions: 0, retries: 0 };
  const root = openAccount(held);
  const ok = callGroup([tree], { account: root, tally, model });
  return { ok, ...tally };
}

type Hop = { account: Account; tally: Tally; model: Model };

function callGroup(group: CallTree[], hop: Hop): boolean {
  const { account, tally, model } = hop;
  for (let pending = group; pending.length > 0;) {
    const calls = pending.map((tree) => ({
      tree,
      allocated: allocate(account, model.split),
    }));
    const failed: CallTree[] = [];
    for (const { tree, allocated } of calls) {
      const { ok, lost, unspent } = attempt(tree, allocated, hop);
      if (!lost) reclaim(account, { allocated, unspent });
      if (!ok) failed.push(tree);
    }
    for (const _ of failed) {
      if (!spend(account)) return false;
      tally.retries += 1;
    }
    pending = failed;
  }
  return true;
}

/** A failure strikes after the work of the call, as a timeout does, or before it. */
function attempt(tree: CallTree, allocated: number, hop: Hop): Attempt {
  const { tally, model: { random, lostShare } } = hop;
  const account = openAccount(allocated);
  tally.executions += 1;
  const fails = random() < tree.failure;
  const lost = fails && random() < lostShare;
  const runs = !fails || lost;
  const ok = runs &&
    tree.groups.every((group) => callGroup(group, { ...hop, account }));
  return { ok: ok && !lost, lost, unspent: closeAccount(account) };
}
