import type { RulesDifference } from "../rules/rules_difference.ts";
import type { SectionVersion } from "../rules/section_version.ts";
import type { VerifyResult } from "./verify_result.ts";

type DescribedDifference = Extract<
  VerifyResult,
  { kind: "compared" }
>["daemons"][number]["differences"][number];

const DIGEST_PREFIX_LENGTH = 12;

const DESCRIBE: {
  [Kind in RulesDifference["kind"]]: (
    difference: Extract<RulesDifference, { kind: Kind }>,
  ) => DescribedDifference;
} = {
  "no-report": () => ({
    section: "",
    agreed: "",
    inEffect: "not known, its report is unreadable",
  }),
  "missing": ({ agreed }) => ({
    section: agreed.name,
    agreed: formatVersion(agreed),
    inEffect: "nothing",
  }),
  "older": describeChanged,
  "newer": describeChanged,
  "altered": describeChanged,
  "unsigned": ({ agreed }) => ({
    section: agreed.name,
    agreed: formatVersion(agreed),
    inEffect: `${formatVersion(agreed)}${signatureNote(false)}`,
  }),
  "not-agreed": ({ actual, signed }) => ({
    section: actual.name,
    agreed: "nothing",
    inEffect: `${formatVersion(actual)}${signatureNote(signed)}`,
  }),
};

/** Formats a difference as one text for each column of the comparison. */
export function describeDifference(
  difference: RulesDifference,
): DescribedDifference {
  const describe = DESCRIBE[difference.kind] as (
    difference: RulesDifference,
  ) => DescribedDifference;
  return describe(difference);
}

function describeChanged(
  { kind, agreed, actual, signed }: Extract<
    RulesDifference,
    { kind: "older" | "newer" | "altered" }
  >,
): DescribedDifference {
  const inEffect = `${kind}: ${formatVersion(actual)}${signatureNote(signed)}`;
  return { section: agreed.name, agreed: formatVersion(agreed), inEffect };
}

function formatVersion({ version, digest }: SectionVersion): string {
  return `version ${version}, digest ${digest.slice(0, DIGEST_PREFIX_LENGTH)}`;
}

function signatureNote(signed: boolean): string {
  return signed ? "" : ", without a signature by this key";
}
