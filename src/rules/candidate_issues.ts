import type { Issue } from "../core/issue.ts";
import { agreements } from "./agreements.ts";
import type { IdentifiedSection } from "./identified_section.ts";
import { LIMITS } from "./limits.ts";
import { ownerIssues } from "./owner_issues.ts";
import type { Rules } from "./rules.ts";
import { sectionIssues } from "./section_issues.ts";
import { weightIssues } from "./weight_issues.ts";

/**
 * Checks whether a section may take effect beside the sections in effect:
 * number of sections, version, size, signatures, service owners and weights.
 */
export function candidateIssues(
  rules: Pick<Rules, "keys" | "sections" | "services">,
  candidate: IdentifiedSection,
): Issue[] {
  const { terms } = candidate.section;
  return [
    ...countIssues(rules, candidate),
    ...versionIssues(rules.sections.get(candidate.name)?.version, candidate),
    ...sectionIssues(candidate, rules.keys),
    ...ownerIssues(terms, rules.services),
    ...(terms.kind === "agreement"
      ? agreementWeightIssues(rules, candidate)
      : []),
  ];
}

function countIssues(
  { sections }: Pick<Rules, "sections">,
  { name }: IdentifiedSection,
): Issue[] {
  if (sections.has(name) || sections.size < LIMITS.sections) return [];
  const message = `There are already ${LIMITS.sections} sections`;
  return [{ code: "too-many-sections", path: [name], message }];
}

function versionIssues(
  current: number | undefined,
  { name, version }: IdentifiedSection,
): Issue[] {
  const expected = (current ?? 0) + 1;
  if (version === expected) return [];
  const message =
    `Section ${name} has version ${version}, but the next version is ${expected}`;
  const code = version < expected ? "version-replayed" : "version-skipped";
  return [{ code, path: [name, "version"], message }];
}

function agreementWeightIssues(
  { sections }: Pick<Rules, "sections">,
  candidate: IdentifiedSection,
): Issue[] {
  const others = [...sections.values()].filter((each) =>
    each.name !== candidate.name
  );
  const terms = [...others, candidate].map((each) => each.section.terms);
  return weightIssues(agreements(terms));
}
