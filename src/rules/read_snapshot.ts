import { parse } from "../core/parse.ts";
import type { Item } from "../store/item.ts";
import { ChangeRecord } from "./change_record.ts";
import { invalidRow } from "./invalid_row.ts";
import { parseVersions } from "./parse_versions.ts";
import { readBody } from "./read_body.ts";
import { readSection } from "./read_section.ts";
import { ROW_KEYS } from "./row_keys.ts";
import type { Section } from "./section.ts";
import type { SectionVersion } from "./section_version.ts";
import type { Snapshot } from "./snapshot.ts";
import type { StoreFault } from "./store_fault.ts";
import type { Stores } from "./stores.ts";

/**
 * Reads the whole state: the state row, its change, and the sections that the
 * reader lacks. Of these rows only the state row is ever overwritten, so a
 * concurrent write cannot mix two states.
 */
export async function readSnapshot(
  stores: Stores,
  known: readonly SectionVersion[] = [],
): Promise<
  { kind: "found"; snapshot: Snapshot } | { kind: "empty" } | StoreFault
> {
  const { partition, state: sort } = ROW_KEYS;
  const row = await stores.table.get({ partition, sort });
  if (row.kind === "unavailable") return row;
  if (row.kind === "absent") return { kind: "empty" };
  const record = await readRecord(stores, row.item);
  if (record.kind !== "found") return record;
  const read = await readBody(stores.objects, row.item);
  if (read.kind !== "found") return read;
  const versions = parseVersions(read.body);
  if (!versions.ok) return invalidRow(sort, versions.issues);
  const knownDigests = new Set(known.map((each) => each.digest));
  const wanted = versions.value.filter((each) =>
    !knownDigests.has(each.digest)
  );
  const found = await readSections(stores, wanted);
  if (found.kind !== "found") return found;
  const { sections } = found;
  const snapshot = {
    record: record.record,
    versions: versions.value,
    sections,
  };
  return { kind: "found", snapshot };
}

async function readRecord(
  { table }: Stores,
  state: Item,
): Promise<{ kind: "found"; record: ChangeRecord } | StoreFault> {
  const sort = ROW_KEYS.change(Number(state.attributes.sequence));
  const row = await table.get({ partition: ROW_KEYS.partition, sort });
  if (row.kind === "unavailable") return row;
  if (row.kind === "absent") return invalidRow(sort);
  const record = parse(ChangeRecord, row.item.attributes);
  return record.ok
    ? { kind: "found", record: record.value }
    : invalidRow(sort, record.issues);
}

async function readSections(
  stores: Stores,
  wanted: readonly SectionVersion[],
): Promise<{ kind: "found"; sections: Section[] } | StoreFault> {
  const sections: Section[] = [];
  for (const version of wanted) {
    const read = await readSection(stores, version);
    if (read.kind !== "found") return read;
    sections.push(read.section);
  }
  return { kind: "found", sections };
}
