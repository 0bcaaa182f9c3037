import type { RulesDifference } from "../rules/rules_difference.ts";
import type { SectionVersion } from "../rules/section_version.ts";
import type { VerifyResult } from "./verify_result.ts";

type Described = Extract<
  VerifyResult,
  { kind: "compared" }
>["daemons"][number]["differences"][number];

const SHOWN_DIGEST_CHARACTERS = 12;

const DESCRIBE: {
  [Kind in RulesDifference["kind"]]: (
    difference: Extract<RulesDifference, { kind: Kind }>,
  ) => Described;
} = {
  "no-report": () => ({
    section: "",
    agreed: "",
    inEffect: "not known, its report is unreadable",
  }),
  "missing": ({ agreed }) => ({
    section: agreed.name,
    agreed: show(agreed),
    inEffect: "nothing",
  }),
  "older": changed,
  "newer": changed,
  "altered": changed,
  "unsigned": ({ agreed }) => ({
    section: agreed.name,
    agreed: show(agreed),
    inEffect: `${show(agreed)}${signature(false)}`,
  }),
  "not-agreed": ({ actual, signed }) => ({
    section: actual.name,
    agreed: "nothing",
    inEffect: `${show(actual)}${signature(signed)}`,
  }),
};

/** Returns a difference as text for each column of the comparison. */
export function describeDifference(difference: RulesDifference): Described {
  const describe = DESCRIBE[difference.kind] as (
    difference: RulesDifference,
  ) => Described;
  return describe(difference);
}

function changed(
  { kind, agreed, actual, signed }: Extract<
    RulesDifference,
    { kind: "older" | "newer" | "altered" }
  >,
): Described {
  const inEffect = `${kind}: ${show(actual)}${signature(signed)}`;
  return { section: agreed.name, agreed: show(agreed), inEffect };
}

function show({ version, digest }: SectionVersion): string {
  return `version ${version}, digest ${
    digest.slice(0, SHOWN_DIGEST_CHARACTERS)
  }`;
}

function signature(signed: boolean): string {
  return signed ? "" : ", without a signature by this key";
}
