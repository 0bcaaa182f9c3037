import type { Result } from "../core/result.ts";
import type { Change } from "./change.ts";
import { changeDigest } from "./change_digest.ts";
import { changeIssues } from "./change_issues.ts";
import { identifySection } from "./identify_section.ts";
import type { Rules } from "./rules.ts";
import type { Section } from "./section.ts";
import { stateDigest } from "./state_digest.ts";

/**
 * Creates the change that puts a signed section into effect after the given
 * rules. It runs the same checks as every daemon, so that no change is written
 * that the daemons would reject.
 */
export function createChange(
  rules: Rules,
  { section, id }: { section: Section; id: string },
): Result<Change> {
  const next = identifySection(section);
  const fields = {
    sequence: rules.record.sequence + 1,
    id,
    name: next.name,
    version: next.version,
    sectionDigest: next.digest,
    previous: rules.record.digest,
    stateDigest: stateDigest(rules.sections, next),
  };
  const record = { ...fields, digest: changeDigest(fields) };
  const issues = changeIssues(rules, { record, next });
  return issues.length === 0
    ? { ok: true, value: { record, section } }
    : { ok: false, issues };
}
