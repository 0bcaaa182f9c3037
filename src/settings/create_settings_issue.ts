import type { SettingsIssue } from "./settings_issue.ts";

/**
 * Creates an issue whose message states the position, the value found and the
 * value expected.
 */
export function createSettingsIssue(
  fields: Omit<SettingsIssue, "message">,
): SettingsIssue {
  const [section, key] = fields.path;
  const place = key === undefined
    ? section === undefined ? "Settings file" : `Section [${section}]`
    : `Key ${key} of section [${section}]`;
  return {
    ...fields,
    message: `${place}: found ${fields.found}, expected ${fields.expected}`,
  };
}
