import type { TableService } from "../store/table_service.ts";
import { BootstrapRow } from "./bootstrap_row.ts";
import { BOOTSTRAP_ROW_COUNT } from "./bootstrap_row_count.ts";

/**
 * Reads the bootstrap rows of a data centre by rank, see `planBootstrap`;
 * malformed rows are skipped. Returns null if the table service did not answer.
 */
export async function readBootstrap(
  table: TableService,
  dataCentre: string,
): Promise<Map<number, BootstrapRow> | null> {
  const found = await table.query({
    partition: "bootstrap",
    from: `${dataCentre}#`,
    // "$" follows "#" in ASCII, so this ends the range of the data centre.
    to: `${dataCentre}$`,
    limit: BOOTSTRAP_ROW_COUNT,
  });
  if (found.kind !== "found") return null;
  const rows = new Map<number, BootstrapRow>();
  for (const { sort, attributes } of found.items) {
    const row = BootstrapRow.safeParse(attributes);
    const rank = Number(sort.slice(dataCentre.length + 1));
    if (row.success && Number.isInteger(rank)) rows.set(rank, row.data);
  }
  return rows;
}
