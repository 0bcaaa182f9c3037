import { evaluateCondition } from "./evaluate_condition.ts";
import type { Operation } from "./operation.ts";
import { partitionRows } from "./partition_rows.ts";
import type { Rows } from "./rows.ts";

type Result =
  | { kind: "written" }
  | { kind: "cancelled"; reasons: { Code: string }[] }
  | { kind: "invalid"; message: string };

const MAX_ROW_BYTES = 400 * 1024;

/** Applies the writes of a transaction atomically. */
export function transactRows(
  rows: Rows,
  { TransactItems: items }: Operation["TransactWriteItems"],
): Result {
  const targets = items.map(({ Put: put }) => {
    const { partition, sort } = put.Item;
    const partitionKey = { table: put.TableName, partition: partition.S };
    const name = JSON.stringify([partitionKey, sort.S]);
    return { put, partitionKey, sort: sort.S, name };
  });
  if (new Set(targets.map(({ name }) => name)).size < targets.length) {
    return { kind: "invalid", message: "Two writes to one row" };
  }
  if (items.some((item) => JSON.stringify(item).length > MAX_ROW_BYTES)) {
    return { kind: "invalid", message: "The row is too large" };
  }
  const conditionResults = targets.map(({ put, partitionKey, sort }) =>
    evaluateCondition(put, partitionRows(rows, partitionKey).get(sort))
  );
  if (conditionResults.includes(null)) {
    return { kind: "invalid", message: "The condition is not supported" };
  }
  if (conditionResults.includes(false)) {
    const reasons = conditionResults.map((holds) => ({
      Code: holds ? "None" : "ConditionalCheckFailed",
    }));
    return { kind: "cancelled", reasons };
  }
  for (const { put, partitionKey, sort } of targets) {
    partitionRows(rows, partitionKey).set(sort, put.Item);
  }
  return { kind: "written" };
}
