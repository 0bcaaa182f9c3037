import type { TableService } from "../store/table_service.ts";
import type { Directory } from "./directory.ts";
import { planBootstrap } from "./plan_bootstrap.ts";
import { readBootstrap } from "./read_bootstrap.ts";

/**
 * Reads the bootstrap rows of the own data centre, writes the own row if that
 * is due, and returns the addresses found; null if the table service is
 * unavailable. A write that failed or conflicted is planned anew by the next
 * call. Call it at the start until it succeeds, then about once a minute.
 */
export async function refreshBootstrap(
  { table, directory }: { table: TableService; directory: Directory },
  wallMs: number,
  now: number,
): Promise<string[] | null> {
  const rows = await readBootstrap(table, directory.identity.dataCentre);
  if (rows === null) return null;
  const write = planBootstrap(directory, { rows, wallMs }, now);
  if (write !== null) await table.transact([write]);
  return [...rows.values()].map(({ address }) => address);
}
