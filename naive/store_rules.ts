import type { TableService } from "../src/store/table_service.ts";

/** Writes rules to a row unconditionally; the last writer wins. */
export async function storeRules(
  table: TableService,
  { name, body }: { name: string; body: string },
): Promise<"accepted" | "failed"> {
  const item = { partition: "naive", sort: name, attributes: { body } };
  const condition = { kind: "none" } as const;
  const written = await table.transact([{ item, condition }]);
  return written.kind === "written" ? "accepted" : "failed";
}
