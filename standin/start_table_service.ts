import { parseJson } from "../src/core/parse_json.ts";
import type { Backend } from "./backend.ts";
import { Operation } from "./operation.ts";
import { partitionRows } from "./partition_rows.ts";
import { queryRows } from "./query_rows.ts";
import type { Rows } from "./rows.ts";
import type { Standin } from "./standin.ts";
import { startStandin } from "./start_standin.ts";
import { transactRows } from "./transact_rows.ts";

const TARGET = "DynamoDB_20120810.";

type Name = keyof Operation;
type Response = ReturnType<Backend["handle"]>;

/** Starts an in-memory table service with the DynamoDB JSON protocol. */
export function startTableService(
  options: { address: string; port: number; accessKey: string },
): Promise<Standin> {
  return startStandin({ ...options, backend: createBackend() });
}

const HANDLERS: {
  [Key in Name]: (rows: Rows, operation: Operation[Key]) => Response;
} = {
  GetItem: (rows, { TableName: table, Key: { partition, sort } }) => {
    const place = { table, partition: partition.S };
    return answer(200, { Item: partitionRows(rows, place).get(sort.S) });
  },
  Query: (rows, query) => answer(200, queryRows(rows, query)),
  TransactWriteItems: (rows, operation) => {
    const result = transactRows(rows, operation);
    if (result.kind === "written") return answer(200, {});
    if (result.kind === "invalid") {
      return fault(400, "ValidationException", { message: result.message });
    }
    return fault(400, "TransactionCanceledException", {
      CancellationReasons: result.reasons,
    });
  },
};

function createBackend(): Backend {
  const rows: Rows = new Map();
  let snapshotRows: Rows = new Map();
  return {
    isWrite: ({ target }) => target === `${TARGET}TransactWriteItems`,
    handle({ target, body }, stale) {
      const name = target.slice(TARGET.length);
      if (!target.startsWith(TARGET) || !Object.hasOwn(HANDLERS, name)) {
        return fault(400, "UnknownOperationException");
      }
      return run(stale ? snapshotRows : rows, name as Name, body);
    },
    snapshot() {
      snapshotRows = new Map(
        [...rows].map(([name, partition]) => [name, new Map(partition)]),
      );
    },
    fault,
  };
}

function run(rows: Rows, name: Name, body: Buffer): Response {
  const parsed = parseJson(Operation[name], body);
  if (!parsed.ok) {
    const message = parsed.issues[0]?.message;
    return fault(400, "ValidationException", { message });
  }
  const handler = HANDLERS[name] as (rows: Rows, body: unknown) => Response;
  return handler(rows, parsed.value);
}

function fault(status: number, code: string, rest: object = {}): Response {
  const __type = `com.amazonaws.dynamodb.v20120810#${code}`;
  return answer(status, { __type, ...rest });
}

function answer(status: number, body: object): Response {
  return {
    status,
    type: "application/x-amz-json-1.0",
    body: JSON.stringify(body),
  };
}
