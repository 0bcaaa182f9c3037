import type { Issue } from "../core/issue.ts";
import { applySnapshot } from "./apply_snapshot.ts";
import { checkSections } from "./check_sections.ts";
import { readSnapshot } from "./read_snapshot.ts";
import type { Rules } from "./rules.ts";
import type { StoreFault } from "./store_fault.ts";
import type { Stores } from "./stores.ts";

/**
 * Updates the rules to the state of the store. Returns the fault if that fails.
 */
export async function refreshRules(
  stores: Stores,
  rules: Rules,
): Promise<StoreFault | undefined> {
  const read = await readSnapshot(stores, [...rules.sections.values()]);
  if (read.kind === "empty") {
    if (rules.record.sequence === 0) return undefined;
    const message =
      `The store is empty, but had change ${rules.record.sequence} before`;
    return invalidStore([{ code: "older-head", path: ["head"], message }]);
  }
  if (read.kind !== "found") return read;
  const { snapshot } = read;
  const checked = await checkSections(rules, snapshot.sections);
  if (checked.issues.length > 0) return invalidStore(checked.issues);
  const { issues } = applySnapshot(
    rules,
    snapshot,
    rules.changedAt,
    checked.passed,
  );
  return issues.length > 0 ? invalidStore(issues) : undefined;
}

function invalidStore(issues: Issue[]): StoreFault {
  return { kind: "invalid", issues };
}
