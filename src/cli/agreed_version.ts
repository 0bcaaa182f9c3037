import type { RulesReport } from "../rules/rules_report.ts";
import { sectionDigest } from "../rules/section_digest.ts";
import { sectionName } from "../rules/section_name.ts";
import type { Terms } from "../rules/terms.ts";

/**
 * Returns the version of terms that were agreed to without a version: the newest
 * that a daemon reports with exactly these terms, otherwise the newest of the
 * section, so that every daemon is found to differ.
 */
export function agreedVersion(
  terms: Terms,
  reports: readonly (RulesReport | null)[],
): number {
  const name = sectionName(terms);
  const reported = reports.flatMap((report) =>
    report?.sections.filter((each) => each.name === name) ?? []
  );
  const matching = reported.filter(({ version, digest }) =>
    sectionDigest({ version, terms }) === digest
  );
  const versions = (matching.length > 0 ? matching : reported)
    .map(({ version }) => version);
  return versions.reduce((newest, each) => Math.max(newest, each), 1);
}
