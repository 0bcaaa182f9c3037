import type { Issue } from "../core/issue.ts";
import { agreements } from "./agreements.ts";
import { compareHead } from "./compare_head.ts";
import type { IdentifiedSection } from "./identified_section.ts";
import { identifySection } from "./identify_section.ts";
import { indexServices } from "./index_services.ts";
import { ownerIssues } from "./owner_issues.ts";
import type { Rules } from "./rules.ts";
import type { Section } from "./section.ts";
import { sectionIssues } from "./section_issues.ts";
import type { Snapshot } from "./snapshot.ts";
import { snapshotChainIssues } from "./snapshot_chain_issues.ts";
import { weightIssues } from "./weight_issues.ts";

/** What became of a snapshot. */
type ApplyResult = { applied: boolean; issues: Issue[] };

/**
 * Puts a snapshot into effect if it is newer, whole and signed throughout, and
 * takes back nothing that is in effect. Otherwise the rules stay as they are.
 * Sections that passed `checkSections` are not checked by themselves again.
 */
export function applySnapshot(
  rules: Rules,
  snapshot: Snapshot,
  now: number,
  verified: ReadonlySet<Section> = new Set(),
): ApplyResult {
  const { sequence, digest, id } = snapshot.record;
  const order = compareHead(rules, { sequence, digest, changeId: id });
  if (order.kind === "same") return { applied: false, issues: [] };
  if (order.kind !== "newer") return { applied: false, issues: [order.issue] };
  const chainIssues = snapshotChainIssues(rules, snapshot);
  if (chainIssues.length > 0) return { applied: false, issues: chainIssues };
  const { sections, services, issues } = assembleSections(
    rules,
    snapshot,
    verified,
  );
  if (issues.length > 0) return { applied: false, issues };
  Object.assign(rules, { sections, services, changedAt: now });
  rules.record = snapshot.record;
  rules.recentChanges = [];
  rules.recentBytes = 0;
  return { applied: true, issues: [] };
}

/** Collects the sections of the snapshot, each from it or from those in effect. */
function assembleSections(
  rules: Rules,
  snapshot: Snapshot,
  verified: ReadonlySet<Section>,
) {
  const sections: Rules["sections"] = new Map();
  const services: Rules["services"] = new Map();
  const issues: Issue[] = [];
  // Sections in effect come last: their signatures have been verified.
  const available = new Map(
    [...snapshot.sections.map(identifySection), ...rules.sections.values()]
      .map((each) => [each.digest, each]),
  );
  for (const { name, version, digest } of snapshot.versions) {
    const found = available.get(digest);
    if (found?.name !== name || found.version !== version) {
      issues.push(missingSection(name));
      continue;
    }
    if (!verified.has(found.section)) issues.push(...unverified(rules, found));
    issues.push(...ownerIssues(found.section.terms, services));
    if (sections.has(name)) issues.push(missingSection(name));
    sections.set(name, found);
    indexServices(services, found.section.terms);
  }
  issues.push(...weightIssues(
    agreements([...sections.values()].map((each) => each.section.terms)),
  ));
  return { sections, services, issues };
}

function unverified(rules: Rules, found: IdentifiedSection): Issue[] {
  const inEffect = rules.sections.get(found.name)?.digest === found.digest;
  return inEffect ? [] : sectionIssues(found, rules.keys);
}

function missingSection(name: string): Issue {
  const message = `Snapshot does not contain section ${name} exactly once`;
  return { code: "section-missing", path: ["snapshot", name], message };
}
