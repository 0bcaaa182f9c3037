import type { TableService } from "../store/table_service.ts";
import { invalidRow } from "./invalid_row.ts";
import { parseJson } from "../core/parse_json.ts";
import { ROW_KEYS } from "./row_keys.ts";
import { Section } from "./section.ts";
import type { StoreFault } from "./store_fault.ts";

/** Reads a section that lacks signatures. Nothing in it is verified. */
export async function readPending(
  table: TableService,
  changeId: string,
): Promise<
  { kind: "found"; section: Section } | { kind: "absent" } | StoreFault
> {
  const row = await table.get({ partition: ROW_KEYS.pending, sort: changeId });
  if (row.kind !== "found") return row;
  const { body, signatures } = row.item.attributes;
  const unsigned = parseJson(
    Section.omit({ signatures: true }),
    String(body),
  );
  if (!unsigned.ok) return invalidRow(changeId, unsigned.issues);
  const signed = parseJson(Section.shape.signatures, String(signatures));
  if (!signed.ok) return invalidRow(changeId, signed.issues);
  return {
    kind: "found",
    section: { ...unsigned.value, signatures: signed.value },
  };
}
