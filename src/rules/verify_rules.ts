import type { KeyObject } from "node:crypto";
import { compareReport } from "./compare_report.ts";
import type { RulesDifference } from "./rules_difference.ts";
import type { RulesReport } from "./rules_report.ts";
import type { Section } from "./section.ts";
import { sectionDigest } from "./section_digest.ts";
import { sectionName } from "./section_name.ts";

/**
 * What a department agreed to, and what each daemon reports; null for a report
 * that could not be read.
 */
type Options = {
  department: string;
  publicKey: KeyObject;
  /** Newest version of each section that the department agreed to. */
  agreed: readonly Pick<Section, "version" | "terms">[];
  reports: readonly { daemon: string; report: RulesReport | null }[];
};

/** How a daemon differs; empty if it has exactly what was agreed. */
type Comparison = { daemon: string; differences: RulesDifference[] };

/**
 * Compares what a department agreed to with what each daemon has in effect.
 * Digests are computed from the terms that the department itself has, and the
 * signatures that daemons report are checked with its own key, so that no
 * daemon has to be trusted.
 */
export function verifyRules(
  { department, publicKey, agreed, reports }: Options,
): Comparison[] {
  const sections = agreed.map((section) => ({
    name: sectionName(section.terms),
    version: section.version,
    digest: sectionDigest(section),
  }));
  return reports.map(({ daemon, report }) => ({
    daemon,
    differences: compareReport({ department, publicKey, sections }, report),
  }));
}
