import { parse } from "ini";
import type { z } from "zod";
import { checkNames } from "./check_names.ts";
import { checkPorts } from "./check_ports.ts";
import type { LocatedLine } from "./located_line.ts";
import { scanLines } from "./scan_lines.ts";
import { SECRET_KEYS } from "./secret_keys.ts";
import { Settings } from "./settings.ts";
import type { SettingsIssue } from "./settings_issue.ts";
import { createSettingsIssue } from "./create_settings_issue.ts";

type Section = Record<string, unknown>;

const DEPARTMENT_PREFIX = "department.";
const MAX_SHOWN_CHARACTERS = 80;

/**
 * Parses a settings file. Checks the whole file and returns all issues in the
 * order of their lines; values of secret keys never appear in an issue.
 */
export function parseSettings(
  text: string,
):
  | { ok: true; value: Settings }
  | { ok: false; issues: SettingsIssue[] } {
  const scanned = scanLines(text);
  const checked = checkNames(scanned.lines);
  const lineOf = createLineLookup(checked.known);
  const raw = parseSections(checked.known);
  const parsed = Settings.safeParse(raw);
  const issues = [
    ...scanned.issues,
    ...checked.issues,
    ...checkPorts(raw.daemon, lineOf),
    ...(parsed.error?.issues ?? []).map((issue) =>
      toSettingsIssue(issue, raw, lineOf)
    ),
  ];
  if (parsed.success && issues.length === 0) {
    return { ok: true, value: parsed.data };
  }
  issues.sort((left, right) => (left.line ?? 0) - (right.line ?? 0));
  return { ok: false, issues };
}

/**
 * Parses the values of known lines. Others are left out, because `ini` can throw
 * on a key that is also a section.
 */
function parseSections(known: LocatedLine[]) {
  const tree = parse(known.map((line) => line.text).join("\n"));
  const departments: Record<string, Section> = {};
  for (const { section, key } of known) {
    if (key !== null || !section.startsWith(DEPARTMENT_PREFIX)) continue;
    const name = section.slice(DEPARTMENT_PREFIX.length);
    departments[name] = tree.department[name];
  }
  return {
    daemon: (tree.daemon ?? {}) as Section,
    platform: (tree.platform ?? null) as Section | null,
    departments,
    limits: (tree.limits ?? {}) as Section,
    log: (tree.log ?? {}) as Section,
  };
}

function createLineLookup(lines: LocatedLine[]) {
  const lineNumbers = new Map(
    lines.map((line) => [`${line.section}\n${line.key}`, line.line]),
  );
  return (section: string, key: string): number | null =>
    lineNumbers.get(`${section}\n${key}`) ??
      lineNumbers.get(`${section}\nnull`) ??
      null;
}

function toSettingsIssue(
  issue: z.core.$ZodIssue,
  raw: ReturnType<typeof parseSections>,
  lineOf: ReturnType<typeof createLineLookup>,
): SettingsIssue {
  const path = issue.path.map(String);
  const key = path.at(-1)!;
  const section = path[0] === "departments"
    ? DEPARTMENT_PREFIX + path[1]
    : path[0]!;
  const sections = raw as Record<string, Section | null>;
  const value = path[0] === "departments"
    ? raw.departments[path[1]!]?.[key]
    : sections[path[0]!]?.[key];
  const code = issue.code === "custom" ? issue.params?.code : "wrong_type";
  return createSettingsIssue({
    code: value === undefined ? "missing_key" : String(code),
    path: [section, key],
    line: lineOf(section, key),
    found: formatFound(key, value),
    expected: issue.message,
  });
}

function formatFound(key: string, value: unknown): string {
  if (value === undefined) return "nothing";
  const text = String(value);
  if (SECRET_KEYS.has(key)) return `${text.length} characters`;
  return text.length > MAX_SHOWN_CHARACTERS
    ? `${JSON.stringify(text.slice(0, MAX_SHOWN_CHARACTERS))}…`
    : JSON.stringify(text);
}
