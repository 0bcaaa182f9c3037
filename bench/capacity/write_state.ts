import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createRules } from "../../src/rules/create_rules.ts";
import { takeSnapshot } from "../../src/rules/take_snapshot.ts";
import { applySection } from "../rules/apply_section.ts";
import { createDepartments } from "../rules/create_departments.ts";
import { createSection } from "../rules/create_section.ts";
import { departmentKeys } from "../rules/department_keys.ts";
import { createEntry } from "./create_entry.ts";
import { PLAN } from "./plan.ts";

/** Entries in a message of 64 KiB, as a new daemon receives them. */
const ENTRIES_PER_MESSAGE = 700;

/**
 * Writes what a daemon learns from others to a file and returns its path: a
 * line of department keys, one with the snapshot of the rules, and lines of
 * entries.
 */
export function writeState(): string {
  const departments = createDepartments(PLAN.departments);
  const keys = departmentKeys(departments);
  const rules = createRules({ departmentKeys: keys });
  const services = PLAN.services / PLAN.departments;
  for (const department of departments) {
    applySection(rules, createSection(department, { version: 1, services }));
  }
  const lines = [JSON.stringify(keys), JSON.stringify(takeSnapshot(rules))];
  const entries = Array.from(
    { length: PLAN.daemons },
    (_, index) => createEntry(index),
  );
  for (let from = 0; from < entries.length; from += ENTRIES_PER_MESSAGE) {
    lines.push(JSON.stringify(entries.slice(from, from + ENTRIES_PER_MESSAGE)));
  }
  const file = join(mkdtempSync(join(tmpdir(), "nutmegmoor-")), "state");
  writeFileSync(file, lines.join("\n"));
  return file;
}
