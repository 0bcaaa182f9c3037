import type { RulesReport } from "../rules/rules_report.ts";
import { sectionDigest } from "../rules/section_digest.ts";
import { sectionName } from "../rules/section_name.ts";
import type { Terms } from "../rules/terms.ts";

/**
 * Returns the version to assume for agreed terms that carry none: the newest
 * version that a daemon reports with exactly these terms, otherwise the newest
 * reported version of the section, so that every daemon shows a difference.
 */
export function agreedVersion(
  terms: Terms,
  reports: readonly (RulesReport | null)[],
): number {
  const name = sectionName(terms);
  const reportedSections = reports.flatMap((report) =>
    report?.sections.filter((section) => section.name === name) ?? []
  );
  const matching = reportedSections.filter(({ version, digest }) =>
    sectionDigest({ version, terms }) === digest
  );
  const versions = (matching.length > 0 ? matching : reportedSections)
    .map(({ version }) => version);
  return versions.reduce((newest, version) => Math.max(newest, version), 1);
}
