import { parseSettings } from "../settings/parse_settings.ts";
import type { Settings } from "../settings/settings.ts";
import type { SettingsIssue } from "../settings/settings_issue.ts";
import { readText } from "./read_text.ts";

/** Reads and validates a settings file. `lines` is the text to print on failure. */
export function loadSettings(file: string):
  | { ok: true; settings: Settings }
  | { ok: false; issues: SettingsIssue[]; lines: string } {
  const read = readText(file);
  if (!read.ok) return { ok: false, issues: [], lines: `${read.message}\n` };
  const parsed = parseSettings(read.text);
  if (parsed.ok) return { ok: true, settings: parsed.value };
  const lines = parsed.issues.map(({ line, message, code }) =>
    `${file}:${line === null ? "" : `${line}:`} ${message} (${code})\n`
  );
  return { ok: false, issues: parsed.issues, lines: lines.join("") };
}
