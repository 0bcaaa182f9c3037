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

/** Outcome of a snapshot. */
type ApplyResult = { applied: boolean; issues: Issue[] };

/**
 * Applies a snapshot if it is newer than the rules, complete and fully signed,
 * and neither drops nor reverts a section in effect. Otherwise the rules stay
 * as they are. The sections in `verified` have passed `checkSections` and are
 * not checked individually again.
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

/**
 * Collects the sections that the snapshot lists, from its bodies and from those
 * in effect.
 */
function assembleSections(
  rules: Rules,
  snapshot: Snapshot,
  verified: ReadonlySet<Section>,
) {
  const sections: Rules["sections"] = new Map();
  const services: Rules["services"] = new Map();
  const issues: Issue[] = [];
  // Sections in effect come last, so that they replace those with the same
  // digest: their signatures have been verified, and the digest does not cover
  // signatures.
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
