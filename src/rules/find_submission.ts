import { parse } from "../core/parse.ts";
import type { TableService } from "../store/table_service.ts";
import { invalidRow } from "./invalid_row.ts";
import { ROW_KEYS } from "./row_keys.ts";
import type { StoreFault } from "./store_fault.ts";
import { SubmittedChange } from "./submitted_change.ts";

/** Returns the change, if any, that was accepted under a change id. */
export async function findSubmission(
  table: TableService,
  changeId: string,
): Promise<
  | { kind: "found"; submission: SubmittedChange }
  | { kind: "absent" }
  | StoreFault
> {
  const { partition } = ROW_KEYS;
  const sort = ROW_KEYS.submission(changeId);
  const row = await table.get({ partition, sort });
  if (row.kind !== "found") return row;
  const submission = parse(SubmittedChange, row.item.attributes);
  return submission.ok
    ? { kind: "found", submission: submission.value }
    : invalidRow(sort, submission.issues);
}
