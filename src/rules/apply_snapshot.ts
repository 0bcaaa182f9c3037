import type { Issue } from "../core/issue.ts";
import { agreements } from "./agreements.ts";
import { compareHead } from "./compare_head.ts";
import type { EffectiveSection } from "./effective_section.ts";
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
type Application = { applied: boolean; issues: Issue[] };

/**
 * Puts a snapshot into effect if it is newer, whole and signed throughout, and
 * takes back nothing that is in effect. Otherwise the rules stay as they are.
 * Sections that passed `checkSections` are not checked by themselves again.
 */
export function applySnapshot(
  rules: Rules,
  snapshot: Snapshot,
  now: number,
  passed: ReadonlySet<Section> = new Set(),
): Application {
  const { sequence, digest, id } = snapshot.record;
  const order = compareHead(rules, { sequence, digest, changeId: id });
  if (order.kind === "same") return { applied: false, issues: [] };
  if (order.kind !== "newer") return { applied: false, issues: [order.issue] };
  const chain = snapshotChainIssues(rules, snapshot);
  if (chain.length > 0) return { applied: false, issues: chain };
  const { sections, services, issues } = assemble(rules, snapshot, passed);
  if (issues.length > 0) return { applied: false, issues };
  Object.assign(rules, { sections, services, changedAt: now });
  rules.record = snapshot.record;
  rules.recent = [];
  rules.recentBytes = 0;
  return { applied: true, issues: [] };
}

/** Collects the sections of the snapshot, each from it or from those in effect. */
function assemble(
  rules: Rules,
  snapshot: Snapshot,
  passed: ReadonlySet<Section>,
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
      issues.push(missing(name));
      continue;
    }
    if (!passed.has(found.section)) issues.push(...unverified(rules, found));
    issues.push(...ownerIssues(found.section.terms, services));
    if (sections.has(name)) issues.push(missing(name));
    sections.set(name, found);
    indexServices(services, found.section.terms);
  }
  issues.push(...weightIssues(
    agreements([...sections.values()].map((each) => each.section.terms)),
  ));
  return { sections, services, issues };
}

function unverified(rules: Rules, found: EffectiveSection): Issue[] {
  const verified = rules.sections.get(found.name)?.digest === found.digest;
  return verified ? [] : sectionIssues(found, rules.keys);
}

function missing(name: string): Issue {
  const message = `Snapshot does not contain section ${name} exactly once`;
  return { code: "section-missing", path: ["snapshot", name], message };
}
