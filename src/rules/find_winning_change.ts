import type { TableService } from "../store/table_service.ts";
import { invalidRow } from "./invalid_row.ts";
import { ROW_KEYS } from "./row_keys.ts";
import type { StoreFault } from "./store_fault.ts";

/** The change that wrote a version of a section. */
type WinningChange = { changeId: string; digest: string; sequence: number };

/**
 * Returns the change, if any, that wrote a version of a section; other changes
 * to the same version are in conflict with it.
 */
export async function findWinningChange(
  table: TableService,
  { name, version }: { name: string; version: number },
): Promise<
  { kind: "found"; winner: WinningChange } | { kind: "absent" } | StoreFault
> {
  const { partition } = ROW_KEYS;
  const sort = ROW_KEYS.section(name, version);
  const row = await table.get({ partition, sort });
  if (row.kind !== "found") return row;
  const { changeId, digest, sequence } = row.item.attributes;
  return typeof changeId === "string" && typeof digest === "string" &&
      typeof sequence === "number"
    ? { kind: "found", winner: { changeId, digest, sequence } }
    : invalidRow(sort);
}
