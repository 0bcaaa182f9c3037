import { setImmediate } from "node:timers/promises";
import type { Issue } from "../core/issue.ts";
import { identifySection } from "./identify_section.ts";
import type { Rules } from "./rules.ts";
import type { Section } from "./section.ts";
import { sectionIssues } from "./section_issues.ts";

// Checking a section takes about 0.24 ms, so a batch blocks the event loop for
// about 5 ms; all 2,000 sections of a snapshot at once would block it for
// 485 ms.
const SECTIONS_PER_BATCH = 20;

/**
 * Checks sections independently of each other, and yields to the event loop
 * after each batch. Returns the sections that passed; stops after the first
 * batch that has an issue.
 */
export async function checkSections(
  { keys }: Pick<Rules, "keys">,
  sections: readonly Section[],
): Promise<{ passed: ReadonlySet<Section>; issues: Issue[] }> {
  const passed = new Set<Section>();
  for (let from = 0; from < sections.length; from += SECTIONS_PER_BATCH) {
    const issues: Issue[] = [];
    for (const section of sections.slice(from, from + SECTIONS_PER_BATCH)) {
      const found = sectionIssues(identifySection(section), keys);
      if (found.length === 0) passed.add(section);
      issues.push(...found);
    }
    if (issues.length > 0) return { passed, issues };
    await setImmediate();
  }
  return { passed, issues: [] };
}
