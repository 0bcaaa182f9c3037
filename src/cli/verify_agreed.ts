import type { Issue } from "../core/issue.ts";
import { parse } from "../core/parse.ts";
import { parsePublicKey } from "../rules/parse_public_key.ts";
import { parseTerms } from "../rules/parse_terms.ts";
import { RulesReport } from "../rules/rules_report.ts";
import type { Section } from "../rules/section.ts";
import { requiredSigners } from "../rules/required_signers.ts";
import { verifyRules } from "../rules/verify_rules.ts";
import { agreedVersion } from "./agreed_version.ts";
import { describeDifference } from "./describe_difference.ts";
import type { RulesHandlers } from "./rules_handlers.ts";
import type { VerifyResult } from "./verify_result.ts";

type Input = Parameters<RulesHandlers["verify"]>[0];

/** Compares a department's agreed files with the rules in effect on daemons. */
export function verifyAgreed(input: Input): Promise<VerifyResult> {
  const { department } = input;
  const key = parsePublicKey(input.publicKey);
  const reports = input.daemons.map(({ address, rules }) => {
    const report = parse(RulesReport, rules);
    return { daemon: address, report: report.ok ? report.value : null };
  });
  const read = readAgreed(input, reports.map(({ report }) => report));
  const issues = key.ok ? read.issues : [...key.issues, ...read.issues];
  if (!key.ok || issues.length > 0) {
    return Promise.resolve({ kind: "rejected", issues });
  }
  const { agreed } = read;
  const publicKey = key.value;
  const compared = verifyRules({ department, publicKey, agreed, reports });
  const daemons = compared.map(({ daemon, differences }) => ({
    address: daemon,
    differences: differences.map(describeDifference),
  }));
  return Promise.resolve({ kind: "compared", daemons });
}

function readAgreed(
  { agreed: files, department }: Input,
  reports: (RulesReport | null)[],
) {
  const issues: Issue[] = [];
  const agreed: Pick<Section, "version" | "terms">[] = [];
  for (const { text, version } of files) {
    const terms = parseTerms(text);
    if (!terms.ok) issues.push(...terms.issues);
    else if (!requiredSigners(terms.value).includes(department)) {
      const message = `These terms do not bind department ${department}`;
      issues.push({ code: "not-a-signer", path: ["department"], message });
    } else {
      const resolvedVersion = version ?? agreedVersion(terms.value, reports);
      agreed.push({ version: resolvedVersion, terms: terms.value });
    }
  }
  return { agreed, issues };
}
