import type { RulesDifference } from "./rules_difference.ts";
import type { RulesReport } from "./rules_report.ts";
import type { SectionVersion } from "./section_version.ts";

/** Sections that a department agreed to. */
type Agreed = { department: string; sections: readonly SectionVersion[] };

/** Compares one daemon's report with what a department agreed to. */
export function compareReport(
  { department, sections }: Agreed,
  report: RulesReport | null,
): RulesDifference[] {
  if (!report) return [{ kind: "no-report" }];
  const bound = report.sections.filter((each) =>
    each.departments.includes(department)
  );
  const names = new Set(sections.map((each) => each.name));
  return [
    ...sections.flatMap((agreed) =>
      difference(
        agreed,
        report.sections.find(({ name }) => name === agreed.name),
      )
    ),
    ...bound.filter((actual) => !names.has(actual.name))
      .map((actual) => ({ kind: "not-agreed" as const, actual: pick(actual) })),
  ];
}

function difference(
  section: SectionVersion,
  found: SectionVersion | undefined,
): RulesDifference[] {
  const agreed = pick(section);
  if (!found) return [{ kind: "missing", agreed }];
  const actual = pick(found);
  if (actual.version !== agreed.version) {
    const kind = actual.version < agreed.version ? "older" : "newer";
    return [{ kind, agreed, actual }];
  }
  return actual.digest === agreed.digest
    ? []
    : [{ kind: "altered", agreed, actual }];
}

function pick({ name, version, digest }: SectionVersion): SectionVersion {
  return { name, version, digest };
}
