import type { Rules } from "./rules.ts";
import type { SectionVersion } from "./section_version.ts";
import type { Snapshot } from "./snapshot.ts";

/**
 * Returns the whole state, without the bodies of the sections that the receiver
 * has. Undefined before the first change.
 */
export function takeSnapshot(
  rules: Rules,
  known: readonly SectionVersion[] = [],
): Snapshot | undefined {
  if (rules.record.sequence === 0) return undefined;
  const knownDigests = new Set(known.map((version) => version.digest));
  const sections = [...rules.sections.values()];
  return {
    record: rules.record,
    versions: sections.map(({ name, version, digest }) => ({
      name,
      version,
      digest,
    })),
    sections: sections.filter((each) => !knownDigests.has(each.digest))
      .map((each) => each.section),
  };
}
