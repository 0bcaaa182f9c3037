import { knownKeys } from "./known_keys.ts";
import type { LocatedLine } from "./located_line.ts";
import type { SettingsIssue } from "./settings_issue.ts";
import { createSettingsIssue } from "./create_settings_issue.ts";

const SECTIONS = "[daemon], [platform], [department.NAME], [limits] or [log]";
const UNIT = /-(b|bytes|kb|kib|mb|mib|gb|gib|us|ms|s|sec|seconds|min)$/;

/**
 * Separates lines whose section and key are known and occur once from the
 * others, which become issues. `ini` would silently merge or overwrite repeated
 * names.
 */
export function checkNames(
  lines: LocatedLine[],
): { known: LocatedLine[]; issues: SettingsIssue[] } {
  const firstLines = new Map<string, number>();
  const known: LocatedLine[] = [];
  const issues: SettingsIssue[] = [];
  for (const line of lines) {
    const name = JSON.stringify([line.section, line.key]);
    const earlier = firstLines.get(name);
    const issue = earlier === undefined
      ? unknownIssue(line)
      : repetitionIssue(line, earlier);
    if (issue !== null) issues.push(issue);
    else if (knownKeys(line.section) !== null) known.push(line);
    firstLines.set(name, earlier ?? line.line);
  }
  return { known, issues };
}

function repetitionIssue(line: LocatedLine, earlier: number): SettingsIssue {
  return createSettingsIssue({
    code: line.key === null ? "duplicate_section" : "duplicate_key",
    path: line.key === null ? [line.section] : [line.section, line.key],
    line: line.line,
    found: `a repetition of line ${earlier}`,
    expected: "one occurrence",
  });
}

/**
 * Returns an issue for an unknown section or key. Keys of an unknown section are
 * not reported, because the section already is.
 */
function unknownIssue(line: LocatedLine): SettingsIssue | null {
  const keys = knownKeys(line.section);
  if (line.key === null) return keys === null ? unknownSection(line) : null;
  if (keys === null || keys.includes(line.key)) return null;
  const stem = line.key.replace(UNIT, "");
  const keyWithOtherUnit = keys.find((key) => key.replace(UNIT, "") === stem);
  return createSettingsIssue({
    code: keyWithOtherUnit === undefined ? "unknown_key" : "wrong_unit",
    path: [line.section, line.key],
    line: line.line,
    found: `key ${line.key}`,
    expected: keyWithOtherUnit ?? `one of ${keys.join(", ")}`,
  });
}

function unknownSection(line: LocatedLine): SettingsIssue {
  return createSettingsIssue({
    code: "unknown_section",
    path: [line.section],
    line: line.line,
    found: `section [${line.section}]`,
    expected: SECTIONS,
  });
}
