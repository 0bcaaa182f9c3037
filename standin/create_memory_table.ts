import type { Item } from "../src/store/item.ts";
import type { TableService } from "../src/store/table_service.ts";
import type { Write } from "../src/store/write.ts";

/** An in-memory table service with fault injection for tests. */
type MemoryTable = TableService & {
  rows: Map<string, Item>;
  /** Whether every call fails as unavailable, without effect. */
  down: boolean;
  /** Faults of the next transactions, in order; later ones run without fault. */
  transactionFaults: ("response-lost" | "request-lost" | "conflict")[];
  /** Called once before the next transaction, such as a concurrent write by another operator. */
  beforeTransaction: (() => Promise<unknown>) | undefined;
};

const DOWN = { kind: "unavailable", message: "Table service is down" } as const;
const LOST = { kind: "unknown", message: "No response" } as const;

/** Creates an empty in-memory table service. */
export function createMemoryTable(): MemoryTable {
  const table: MemoryTable = {
    rows: new Map(),
    down: false,
    transactionFaults: [],
    beforeTransaction: undefined,
    get: ({ partition, sort }) => Promise.resolve(get(table, partition, sort)),
    query: (range) => Promise.resolve(query(table, range)),
    transact: (writes) => transact(table, writes),
  };
  return table;
}

function rowKey(partition: string, sort: string): string {
  return JSON.stringify([partition, sort]);
}

function get(table: MemoryTable, partition: string, sort: string) {
  if (table.down) return DOWN;
  const item = table.rows.get(rowKey(partition, sort));
  return item
    ? { kind: "found" as const, item: structuredClone(item) }
    : { kind: "absent" as const };
}

function query(
  table: MemoryTable,
  { partition, from, to, limit }: Parameters<TableService["query"]>[0],
) {
  if (table.down) return DOWN;
  const items = [...table.rows.values()]
    .filter((row) =>
      row.partition === partition && row.sort >= from && row.sort < to
    )
    .sort((left, right) => (left.sort < right.sort ? -1 : 1))
    .slice(0, limit);
  return { kind: "found" as const, items: structuredClone(items) };
}

async function transact(table: MemoryTable, writes: readonly Write[]) {
  const { beforeTransaction } = table;
  table.beforeTransaction = undefined;
  await beforeTransaction?.();
  if (table.down) return DOWN;
  const fault = table.transactionFaults.shift();
  if (fault === "request-lost") return LOST;
  if (
    fault === "conflict" ||
    !writes.every((write) => conditionHolds(table, write))
  ) {
    return fault === "response-lost" ? LOST : { kind: "conflict" as const };
  }
  for (const { item } of writes) {
    table.rows.set(rowKey(item.partition, item.sort), structuredClone(item));
  }
  return fault === "response-lost" ? LOST : { kind: "written" as const };
}

function conditionHolds(
  table: MemoryTable,
  { item, condition }: Write,
): boolean {
  const row = table.rows.get(rowKey(item.partition, item.sort));
  if (condition.kind === "none") return true;
  if (condition.kind === "absent") return row === undefined;
  return row?.attributes[condition.attribute] === condition.value;
}
