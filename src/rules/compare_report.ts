import { type KeyObject, verify } from "node:crypto";
import type { RulesDifference } from "./rules_difference.ts";
import type { RulesReport } from "./rules_report.ts";
import type { SectionVersion } from "./section_version.ts";
import { signaturePayload } from "./signature_payload.ts";

type Reported = RulesReport["sections"][number];

/** The sections that a department agreed to, and its own public key. */
type Expectation = {
  department: string;
  publicKey: KeyObject;
  sections: readonly SectionVersion[];
};

/** Compares one daemon's report with what a department agreed to. */
export function compareReport(
  { department, publicKey, sections }: Expectation,
  report: RulesReport | null,
): RulesDifference[] {
  if (!report) return [{ kind: "no-report" }];
  const names = new Set(sections.map((each) => each.name));
  const others = report.sections.filter((each) =>
    each.departments.includes(department) && !names.has(each.name)
  );
  return [
    ...sections.flatMap((agreed) =>
      sectionDifferences(agreed, {
        found: report.sections.find(({ name }) => name === agreed.name),
        publicKey,
      })
    ),
    ...others.map((actual) => ({
      kind: "not-agreed" as const,
      actual: toSectionVersion(actual),
      signed: isSigned(actual, publicKey),
    })),
  ];
}

function sectionDifferences(
  section: SectionVersion,
  { found, publicKey }: { found: Reported | undefined; publicKey: KeyObject },
): RulesDifference[] {
  const agreed = toSectionVersion(section);
  if (!found) return [{ kind: "missing", agreed }];
  const actual = toSectionVersion(found);
  const signed = isSigned(found, publicKey);
  if (actual.version !== agreed.version) {
    const kind = actual.version < agreed.version ? "older" : "newer";
    return [{ kind, agreed, actual, signed }];
  }
  if (actual.digest !== agreed.digest) {
    return [{ kind: "altered", agreed, actual, signed }];
  }
  return signed ? [] : [{ kind: "unsigned", agreed }];
}

function isSigned({ digest, signature }: Reported, key: KeyObject): boolean {
  if (signature === undefined) return false;
  const bytes = Buffer.from(signature, "base64");
  return verify(null, signaturePayload(digest), key, bytes);
}

function toSectionVersion(
  { name, version, digest }: SectionVersion,
): SectionVersion {
  return { name, version, digest };
}
