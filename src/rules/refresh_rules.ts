import { applySnapshot } from "./apply_snapshot.ts";
import { readSnapshot } from "./read_snapshot.ts";
import type { Rules } from "./rules.ts";
import type { StoreFault } from "./store_fault.ts";
import type { Stores } from "./stores.ts";

/** Brings the rules to the state of the store; returns why that failed. */
export async function refreshRules(
  stores: Stores,
  rules: Rules,
): Promise<StoreFault | undefined> {
  const read = await readSnapshot(stores, [...rules.sections.values()]);
  if (read.kind === "empty") {
    if (rules.record.sequence === 0) return undefined;
    const message =
      `The store is empty, but had change ${rules.record.sequence} before`;
    const issues = [{ code: "older-head", path: ["head"], message }];
    return { kind: "invalid", issues };
  }
  if (read.kind !== "found") return read;
  const { issues } = applySnapshot(rules, read.snapshot, rules.changedAt);
  return issues.length > 0 ? { kind: "invalid", issues } : undefined;
}
