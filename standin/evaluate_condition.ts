import type { Operation } from "./operation.ts";
import type { Row } from "./row.ts";

type Put = Operation["TransactWriteItems"]["TransactItems"][number]["Put"];

const ABSENT = /^attribute_not_exists\((#\w+)\)$/;
const EQUALS = /^(#\w+) = (:\w+)$/;

/**
 * Evaluates the condition of a write against the current row. Returns null for
 * an expression outside the implemented subset.
 */
export function evaluateCondition(
  put: Put,
  row: Row | undefined,
): boolean | null {
  const expression = put.ConditionExpression;
  if (expression === undefined) return true;
  const [, absentName] = ABSENT.exec(expression) ?? [];
  const [, equalName, valueName] = EQUALS.exec(expression) ?? [];
  const attribute = put.ExpressionAttributeNames
    ?.[absentName ?? equalName ?? ""];
  if (attribute === undefined) return null;
  const present = row?.[attribute];
  if (absentName !== undefined) return present === undefined;
  const value = put.ExpressionAttributeValues?.[valueName ?? ""];
  if (value === undefined) return null;
  return present !== undefined && equal(present, value);
}

type Value = Row[string];

function equal(left: Value, right: Value): boolean {
  if ("S" in left) return "S" in right && left.S === right.S;
  return "N" in right && Number(left.N) === Number(right.N);
}
