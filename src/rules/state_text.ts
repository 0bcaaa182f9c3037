import type { SectionVersion } from "./section_version.ts";

/** Returns the sorted `name:version:digest` lines that the state digest covers. */
export function stateText(versions: Iterable<SectionVersion>): string {
  return Array.from(
    versions,
    ({ name, version, digest }) => `${name}:${version}:${digest}`,
  ).sort().join("\n");
}
