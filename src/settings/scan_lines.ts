import { unsafe } from "ini";
import type { LocatedLine } from "./located_line.ts";
import type { SettingsIssue } from "./settings_issue.ts";
import { createSettingsIssue } from "./create_settings_issue.ts";

const SECTION = /^\[([^\]]*)\]$/;
const KEY = /^([^=]+)=/;

/**
 * Returns each section header and key with its line number. Lines that `ini`
 * would skip or interpret differently become issues.
 */
export function scanLines(
  text: string,
): { lines: LocatedLine[]; issues: SettingsIssue[] } {
  const lines: LocatedLine[] = [];
  const issues: SettingsIssue[] = [];
  let section: string | null = null;
  text.split(/\r\n|\n|\r/).forEach((rawLine, index) => {
    const line = index + 1;
    const body = rawLine.trim();
    if (body === "" || body.startsWith("#") || body.startsWith(";")) return;
    const header = SECTION.exec(body);
    if (header !== null) {
      section = unsafe(header[1]!);
      lines.push({ line, section, key: null, text: body });
      return;
    }
    const issue = findMalformation(body, { section, line });
    if (issue !== null) issues.push(issue);
    else lines.push({ line, section: section!, key: keyOf(body), text: body });
  });
  return { lines, issues };
}

/** Returns the key as `ini` reads it: `unsafe` removes quotes and escapes. */
function keyOf(body: string): string {
  const match = KEY.exec(body);
  return match === null ? "" : unsafe(match[1]!);
}

function findMalformation(
  body: string,
  position: { section: string | null; line: number },
): SettingsIssue | null {
  const key = keyOf(body);
  const path = position.section === null ? [] : [position.section];
  const issue = (found: string, expected: string) =>
    createSettingsIssue({
      code: "malformed_line",
      path,
      line: position.line,
      found,
      expected,
    });
  // The rest of such a line may be a secret, so it is not quoted.
  if (body.startsWith("[")) {
    return issue("an unclosed bracket or text after it", "[SECTION] alone");
  }
  if (key === "") return issue("a line without key or =", "KEY = VALUE");
  if (key.endsWith("[]")) {
    return issue(`key ${key}`, "a list on one line, separated by commas");
  }
  return position.section === null
    ? issue(`key ${key} before any section`, "a section header first")
    : null;
}
