import type { Item } from "../src/store/item.ts";
import type { TableService } from "../src/store/table_service.ts";
import type { Write } from "../src/store/write.ts";

/** A table service in memory whose faults a test sets. */
type MemoryTable = TableService & {
  rows: Map<string, Item>;
  /** Nothing is sent while the table is down. */
  down: boolean;
  /** Fates of the next transactions; those after them take effect normally. */
  transactionFaults: ("response-lost" | "request-lost" | "conflict")[];
  /** Runs once before the next transaction, such as another operator's write. */
  beforeTransaction: (() => Promise<unknown>) | undefined;
};

const DOWN = { kind: "unavailable", message: "Table service is down" } as const;
const LOST = { kind: "unknown", message: "No response" } as const;

/** Returns an empty table. */
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
  const { beforeTransaction: before } = table;
  table.beforeTransaction = undefined;
  await before?.();
  if (table.down) return DOWN;
  const fate = table.transactionFaults.shift();
  if (fate === "request-lost") return LOST;
  if (fate === "conflict" || !writes.every((each) => holds(table, each))) {
    return fate === "response-lost" ? LOST : { kind: "conflict" as const };
  }
  for (const { item } of writes) {
    table.rows.set(rowKey(item.partition, item.sort), structuredClone(item));
  }
  return fate === "response-lost" ? LOST : { kind: "written" as const };
}

function holds(table: MemoryTable, { item, condition }: Write): boolean {
  const row = table.rows.get(rowKey(item.partition, item.sort));
  if (condition.kind === "none") return true;
  if (condition.kind === "absent") return row === undefined;
  return row?.attributes[condition.attribute] === condition.value;
}
