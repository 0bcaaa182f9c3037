import { parse } from "../core/parse.ts";
import type { Result } from "../core/result.ts";
import { Snapshot } from "./snapshot.ts";
import type { SectionVersion } from "./section_version.ts";

/** Parses the `name:version:digest` lines that the state digest covers. */
export function parseVersions(text: string): Result<SectionVersion[]> {
  const lines = text === "" ? [] : text.split("\n");
  const versions = lines.map((line) => {
    const [name, version, digest] = line.split(":");
    return { name, version: Number(version), digest };
  });
  return parse(Snapshot.shape.versions, versions);
}
