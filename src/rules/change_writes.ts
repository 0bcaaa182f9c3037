import { canonicalJson } from "../core/canonical_json.ts";
import type { Write } from "../store/write.ts";
import type { Change } from "./change.ts";
import { ROW_KEYS } from "./row_keys.ts";

/** Attributes of the section row and the state row that hold their bodies. */
type Bodies = {
  section: Record<string, string>;
  state: Record<string, string>;
};

/**
 * Returns the writes of one change, for one transaction. It is conditional on
 * the digest of the head that the change follows, so that only one of several
 * concurrent changes is written.
 */
export function changeWrites(
  { record, section }: Change,
  bodies: Bodies,
): Write[] {
  const { sequence, digest, id } = record;
  const previous: Write["condition"] = sequence === 1
    ? { kind: "absent" }
    : { kind: "equals", attribute: "digest", value: record.previous };
  const signatures = canonicalJson(section.signatures);
  return [
    write(ROW_KEYS.head, { sequence, digest, changeId: id }, previous),
    write(ROW_KEYS.change(sequence), record, { kind: "absent" }),
    write(ROW_KEYS.section(record.name, record.version), {
      ...bodies.section,
      signatures,
      sequence,
      changeId: id,
    }, { kind: "absent" }),
    write(ROW_KEYS.submission(id), {
      sequence,
      name: record.name,
      version: record.version,
      digest: record.sectionDigest,
    }, { kind: "absent" }),
    write(ROW_KEYS.state, { ...bodies.state, sequence }, { kind: "none" }),
  ];
}

function write(
  sort: string,
  attributes: Record<string, string | number>,
  condition: Write["condition"],
): Write {
  return {
    item: { partition: ROW_KEYS.partition, sort, attributes },
    condition,
  };
}
