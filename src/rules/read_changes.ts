import { parse } from "../core/parse.ts";
import type { Item } from "../store/item.ts";
import type { Change } from "./change.ts";
import { ChangeRecord } from "./change_record.ts";
import { invalidRow } from "./invalid_row.ts";
import { readSection } from "./read_section.ts";
import { ROW_KEYS } from "./row_keys.ts";
import type { StoreFault } from "./store_fault.ts";
import type { Stores } from "./stores.ts";

/** Reads at most `limit` changes after a sequence, with their sections. */
export async function readChanges(
  stores: Stores,
  { after, limit }: { after: number; limit: number },
): Promise<{ kind: "found"; changes: Change[] } | StoreFault> {
  const rows = await stores.table.query({
    partition: ROW_KEYS.partition,
    from: ROW_KEYS.change(after + 1),
    to: ROW_KEYS.change(after + 1 + limit),
    limit,
  });
  if (rows.kind !== "found") return rows;
  const changes: Change[] = [];
  for (const item of rows.items) {
    const read = await readChange(stores, item);
    if (read.kind !== "found") return read;
    changes.push(read.change);
  }
  return { kind: "found", changes };
}

async function readChange(
  stores: Stores,
  item: Item,
): Promise<{ kind: "found"; change: Change } | StoreFault> {
  const record = parse(ChangeRecord, item.attributes);
  if (!record.ok) return invalidRow(item.sort, record.issues);
  const read = await readSection(stores, record.value);
  if (read.kind !== "found") return read;
  const change = { record: record.value, section: read.section };
  return { kind: "found", change };
}
