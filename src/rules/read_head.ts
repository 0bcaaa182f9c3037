import { parse } from "../core/parse.ts";
import type { TableService } from "../store/table_service.ts";
import { GENESIS } from "./genesis.ts";
import { Head } from "./head.ts";
import { invalidRow } from "./invalid_row.ts";
import { ROW_KEYS } from "./row_keys.ts";
import type { StoreFault } from "./store_fault.ts";

/**
 * Reads the head from the store, with one read. An empty store has sequence 0.
 */
export async function readHead(
  table: TableService,
): Promise<{ kind: "found"; head: Head } | StoreFault> {
  const { partition, head: sort } = ROW_KEYS;
  const row = await table.get({ partition, sort });
  if (row.kind === "unavailable") return row;
  if (row.kind === "absent") {
    const { sequence, digest, id } = GENESIS;
    return { kind: "found", head: { sequence, digest, changeId: id } };
  }
  const head = parse(Head, row.item.attributes);
  return head.ok
    ? { kind: "found", head: head.value }
    : invalidRow(sort, head.issues);
}
