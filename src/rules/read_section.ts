import { parseJson } from "../core/parse_json.ts";
import { readBody } from "./read_body.ts";
import { invalidRow } from "./invalid_row.ts";
import { ROW_KEYS } from "./row_keys.ts";
import { Section } from "./section.ts";
import type { StoreFault } from "./store_fault.ts";
import type { Stores } from "./stores.ts";

const Body = Section.omit({ signatures: true });
const Signatures = Section.shape.signatures;

/** Reads one version of a section. Its signatures are not verified. */
export async function readSection(
  { table, objects }: Stores,
  { name, version }: { name: string; version: number },
): Promise<{ kind: "found"; section: Section } | StoreFault> {
  const { partition } = ROW_KEYS;
  const sort = ROW_KEYS.section(name, version);
  const row = await table.get({ partition, sort });
  if (row.kind === "unavailable") return row;
  if (row.kind === "absent") return invalidRow(sort);
  const read = await readBody(objects, row.item);
  if (read.kind !== "found") return read;
  const body = parseJson(Body, read.body);
  if (!body.ok) return invalidRow(sort, body.issues);
  const signatures = parseJson(
    Signatures,
    String(row.item.attributes.signatures),
  );
  if (!signatures.ok) return invalidRow(sort, signatures.issues);
  const section = { ...body.value, signatures: signatures.value };
  return { kind: "found", section };
}
