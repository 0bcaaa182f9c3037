import type { SettingsIssue } from "./settings_issue.ts";

/** Builds an issue whose message names the place, the finding and the expectation. */
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
