import type { TableService } from "../store/table_service.ts";
import { invalidRow } from "./invalid_row.ts";
import { ROWS } from "./rows.ts";
import type { StoreFault } from "./store_fault.ts";

/** The change that wrote one version of a section. */
type Winner = { changeId: string; digest: string; sequence: number };

/** Finds out which change, if any, wrote a version of a section. */
export async function findWinner(
  table: TableService,
  { name, version }: { name: string; version: number },
): Promise<
  { kind: "found"; winner: Winner } | { kind: "absent" } | StoreFault
> {
  const { partition } = ROWS;
  const sort = ROWS.section(name, version);
  const row = await table.get({ partition, sort });
  if (row.kind !== "found") return row;
  const { changeId, digest, sequence } = row.item.attributes;
  return typeof changeId === "string" && typeof digest === "string" &&
      typeof sequence === "number"
    ? { kind: "found", winner: { changeId, digest, sequence } }
    : invalidRow(sort);
}
