import type { Row } from "./row.ts";
import type { Rows } from "./rows.ts";

/** Returns the rows of one partition by sort key; creates the partition if it does not exist. */
export function partitionRows(
  rows: Rows,
  { table, partition }: { table: string; partition: string },
): Map<string, Row> {
  const name = JSON.stringify([table, partition]);
  const bySortKey = rows.get(name) ?? new Map<string, Row>();
  rows.set(name, bySortKey);
  return bySortKey;
}
