import type { Issue } from "../core/issue.ts";
import { ROW_KEYS } from "./row_keys.ts";
import type { StoreFault } from "./store_fault.ts";

/** Returns the fault of a row that is missing or has invalid content. */
export function invalidRow(
  sort: string,
  issues: readonly Issue[] = [],
): StoreFault {
  const path = [ROW_KEYS.partition, sort];
  const message = `Row ${sort} is missing or damaged`;
  return {
    kind: "invalid",
    issues: [
      { code: "invalid-row", path, message },
      ...issues.map((each) => ({ ...each, path: [...path, ...each.path] })),
    ],
  };
}
