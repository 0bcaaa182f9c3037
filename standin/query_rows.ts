import type { Operation } from "./operation.ts";
import { partitionRows } from "./partition_rows.ts";
import type { Row } from "./row.ts";
import type { Rows } from "./rows.ts";

/** Size limit of a page in the DynamoDB protocol; a larger row makes a page by itself. */
const MAX_PAGE_BYTES = 1024 * 1024;

/** Returns one page of rows in the byte order of their sort keys. */
export function queryRows(rows: Rows, query: Operation["Query"]): object {
  const values = query.ExpressionAttributeValues;
  const partition = partitionRows(rows, {
    table: query.TableName,
    partition: values[":p"].S,
  });
  const start = query.ExclusiveStartKey?.sort.S;
  const matches = [...partition.values()]
    .filter(({ sort: { S: sort } }) =>
      compare(sort, values[":from"].S) >= 0 &&
      compare(sort, values[":to"].S) <= 0 &&
      (start === undefined || compare(sort, start) > 0)
    )
    .sort((left, right) => compare(left.sort.S, right.sort.S));
  const page = firstPage(matches, query.Limit);
  const last = page.at(-1);
  return {
    Items: page,
    Count: page.length,
    LastEvaluatedKey: last !== undefined && page.length < matches.length
      ? { partition: last.partition, sort: last.sort }
      : undefined,
  };
}

function firstPage(matches: Row[], limit: number): Row[] {
  let size = 0;
  const end = matches.findIndex((row, index) => {
    size += JSON.stringify(row).length;
    return index >= limit || (index > 0 && size > MAX_PAGE_BYTES);
  });
  return end < 0 ? matches : matches.slice(0, end);
}

function compare(left: string, right: string): number {
  return Buffer.compare(Buffer.from(left), Buffer.from(right));
}
