import { createPublicKey } from "node:crypto";
import test from "ava";
import { applyChanges } from "./apply_changes.ts";
import { reportRules } from "./report_rules.ts";
import type { RulesReport } from "./rules_report.ts";
import type { Section } from "./section.ts";
import type { Terms } from "./terms.ts";
import { fixture } from "./test_fixture.ts";
import { verifyRules } from "./verify_rules.ts";

const { nextChange, privateKey, section, terms } = fixture;
const fair: Terms = {
  kind: "agreement",
  agreement: "fair",
  parties: ["collective", "harvest"],
  shares: [],
};
const one = section(1, terms("collective"));
const two = section(2, terms("collective", 1));

function report(...applied: Section[]): RulesReport {
  const rules = fixture.rules();
  for (const each of applied) applyChanges(rules, [nextChange(rules, each)], 0);
  return reportRules(rules, "collective");
}

function verify(
  agreed: Section[],
  reports: Record<string, RulesReport | null>,
) {
  const compared = verifyRules({
    department: "collective",
    publicKey: createPublicKey(privateKey("collective")),
    agreed,
    reports: Object.entries(reports).map(([daemon, report]) => ({
      daemon,
      report,
    })),
  });
  return compared.map(({ daemon, differences }) => [
    daemon,
    ...differences.map(({ kind }) => kind),
  ]);
}

test("daemons that differ from the agreed sections are reported", (t) => {
  const harvest = section(1, terms("harvest"));
  const altered = section(1, terms("collective", 5));
  const compared = verify([one], {
    same: report(harvest, one),
    silent: null,
    empty: report(),
    newer: report(one, two),
    altered: report(altered),
    bound: report(one, section(1, fair)),
  });
  t.deepEqual(compared, [
    ["same"],
    ["silent", "no-report"],
    ["empty", "missing"],
    ["newer", "newer"],
    ["altered", "altered"],
    ["bound", "not-agreed"],
  ]);
  t.deepEqual(verify([two], { late: report(one) }), [["late", "older"]]);
});

test("a section without a valid signature of the department is reported", (t) => {
  const signature = section(1, terms("harvest")).signatures.harvest;
  const { head, sections } = report(one);
  const sectionsOf = (signature?: string) => ({
    head,
    sections: sections.map((each) => ({ ...each, signature })),
  });
  t.deepEqual(verify([one], { forged: sectionsOf(signature) }), [
    ["forged", "unsigned"],
  ]);
  t.deepEqual(verify([one], { without: sectionsOf() }), [
    ["without", "unsigned"],
  ]);
});
