import { applyChanges } from "../../src/rules/apply_changes.ts";
import type { Change } from "../../src/rules/change.ts";
import { createChange } from "../../src/rules/create_change.ts";
import type { Rules } from "../../src/rules/rules.ts";
import type { Section } from "../../src/rules/section.ts";

/** Makes a section the next change of the rules and returns the change. */
export function applySection(rules: Rules, section: Section): Change {
  const id = `change-${rules.record.sequence + 1}`;
  const change = createChange(rules, { section, id });
  if (!change.ok) throw new Error(JSON.stringify(change.issues));
  applyChanges(rules, [change.value], 0);
  return change.value;
}
