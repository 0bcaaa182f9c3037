import { createPublicKey } from "node:crypto";
import test from "ava";
import { applyChanges } from "./apply_changes.ts";
import { reportRules } from "./report_rules.ts";
import type { RulesReport } from "./rules_report.ts";
import type { Section } from "./section.ts";
import type { Terms } from "./terms.ts";
import { fixture } from "./test_fixture.ts";
import { verifyRules } from "./verify_rules.ts";

const { next, privateKey, section, terms } = fixture;
const fair: Terms = {
  kind: "agreement",
  agreement: "fair",
  parties: ["collective", "harvest"],
  shares: [],
};
const one = section(1, terms("collective"));
const two = section(2, terms("collective", 1));

function report(...sections: Section[]): RulesReport {
  const rules = fixture.rules();
  for (const each of sections) applyChanges(rules, [next(rules, each)], 0);
  return reportRules(rules);
}

function verify(
  agreed: Section[],
  reports: Record<string, RulesReport | null>,
) {
  return verifyRules({
    department: "collective",
    publicKey: createPublicKey(privateKey("collective")),
    agreed,
    reports: new Map(Object.entries(reports)),
  });
}

test("daemons that differ from the agreed sections are named", (t) => {
  const harvest = section(1, terms("harvest"));
  const altered = section(1, terms("collective", 5));
  const verified = verify([one], {
    same: report(harvest, one),
    silent: null,
    empty: report(),
    newer: report(one, two),
    altered: report(altered),
    bound: report(one, section(1, fair)),
  });
  const found = verified.ok ? verified.value : [];
  t.deepEqual(
    found.map((each) => [each.daemon, each.differences[0]?.kind]),
    [
      ["silent", "no-report"],
      ["empty", "missing"],
      ["newer", "newer"],
      ["altered", "altered"],
      ["bound", "not-agreed"],
    ],
  );
  const older = verify([two], { late: report(one) });
  t.like(older, { value: [{ differences: [{ kind: "older" }] }] });
});

test("a section without the department's own signature is no agreement", (t) => {
  const { signatures } = section(1, terms("harvest"));
  const verified = verify([{ ...section(1, fair), signatures }], {});
  t.like(verified, { ok: false, issues: [{ code: "signature-missing" }] });
});
