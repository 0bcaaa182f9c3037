import test from "ava";
import fc from "fast-check";
import { applyChanges } from "./apply_changes.ts";
import { changeDigest } from "./change_digest.ts";
import { changesSince } from "./changes_since.ts";
import { departmentWeights } from "./department_weights.ts";
import { getServiceRule } from "./get_service_rule.ts";
import { rulesHead } from "./rules_head.ts";
import type { Section } from "./section.ts";
import type { Terms } from "./terms.ts";
import { fixture } from "./test_fixture.ts";

const { nextChange, rules: create, section, terms } = fixture;
const first = section(1, terms("collective"));
const fair: Terms = {
  kind: "agreement",
  agreement: "fair",
  parties: ["collective", "harvest"],
  shares: [{ service: "*", weights: { collective: 3, harvest: 1 } }],
};

function applyHistory(length: number, department = "collective") {
  const rules = create();
  const changes = Array.from({ length }, (_, index) => {
    const change = nextChange(
      rules,
      section(index + 1, terms(department, index)),
    );
    applyChanges(rules, [change], 0);
    return change;
  });
  return { rules, changes };
}

function applySection(section: Section, rules = create()) {
  const before = rulesHead(rules);
  const { issues } = applyChanges(rules, [nextChange(rules, section)], 0);
  return {
    codes: issues.map((issue) => issue.code),
    kept: rulesHead(rules).digest === before.digest,
  };
}

test("forged, unsigned and wrongly signed sections do not take effect", (t) => {
  const { signatures } = section(1, terms("rival"));
  const wrongSigner = { collective: String(signatures.rival) };
  const cases: [Section, string][] = [
    [{ ...first, signatures: {} }, "signature-missing"],
    [{ ...first, signatures: wrongSigner }, "signature-invalid"],
    [{ ...first, signatures }, "signature-missing"],
    [{ ...first, terms: terms("collective", 9) }, "signature-invalid"],
    [section(1, terms("stranger")), "unknown-department"],
    [
      {
        ...section(1, fair),
        signatures: section(1, terms("harvest")).signatures,
      },
      "signature-missing",
    ],
  ];
  for (const [forged, code] of cases) {
    const { codes, kept } = applySection(forged);
    t.true(codes.includes(code), code);
    t.true(kept);
  }
});

test("an older section in a new change is rejected as a replay", (t) => {
  const { rules } = applyHistory(3);
  t.deepEqual(applySection(section(2, terms("collective", 1)), rules), {
    codes: ["version-replayed"],
    kept: true,
  });
});

test("a department cannot declare a service of another department", (t) => {
  const { rules } = applyHistory(1);
  const conflicting = { ...terms("collective"), department: "rival" } as Terms;
  t.deepEqual(applySection(section(1, conflicting), rules).codes, [
    "service-taken",
  ]);
  t.is(getServiceRule(rules, "collective-shop")?.requests.length, 1);
});

test("a change that does not match its digests is rejected", (t) => {
  const rules = create();
  const { record } = nextChange(rules, first);
  const other = section(1, terms("harvest"));
  const { issues } = applyChanges(rules, [{ record, section: other }], 0);
  t.is(issues[0]?.code, "section-mismatch");
  const damaged = { ...record, id: "other" };
  const result = applyChanges(rules, [{ record: damaged, section: first }], 0);
  t.is(result.issues[0]?.code, "digest-mismatch");
  const wrongState = { ...record, stateDigest: "0".repeat(64) };
  const rehashed = { ...wrongState, digest: changeDigest(wrongState) };
  const state = applyChanges(rules, [{ record: rehashed, section: first }], 0);
  t.is(state.issues[0]?.code, "state-mismatch");
});

test("a fork is reported and not applied", (t) => {
  const { rules } = applyHistory(2);
  const other = applyHistory(3, "rival");
  const head = rulesHead(rules);
  for (const change of other.changes) {
    const { issues } = applyChanges(rules, [change], 0);
    t.deepEqual(issues.map((issue) => issue.code), ["fork"]);
  }
  t.deepEqual(rulesHead(rules), head);
});

test("an agreement moves weight only between its parties", (t) => {
  const rules = create();
  applyChanges(rules, [nextChange(rules, section(1, fair))], 0);
  t.deepEqual([...departmentWeights(rules, "bookings")], [
    ["collective", 1.5],
    ["harvest", 0.5],
  ]);
});

test("agreements together cannot take a department's whole weight", (t) => {
  const rules = create();
  const agreementWith = (to: string): Terms => ({
    ...fair,
    parties: ["collective", to],
    shares: [{ service: "*", weights: { collective: 1, [to]: 999 } }],
  });
  applyChanges(
    rules,
    [nextChange(rules, section(1, agreementWith("harvest")))],
    0,
  );
  const { codes } = applySection(section(1, agreementWith("rival")), rules);
  t.deepEqual(codes, ["weight-exhausted"]);
});

test("an agreement of other parties does not replace one of the same name", (t) => {
  const rules = create();
  applyChanges(rules, [nextChange(rules, section(1, fair))], 0);
  const parties = ["harvest", "rival"];
  const weights: Record<string, number> = { harvest: 9, rival: 1 };
  const shares = [{ service: "*", weights }];
  const other = section(1, { ...fair, parties, shares });
  t.is(applyChanges(rules, [nextChange(rules, other)], 0).applied.length, 1);
  t.is(rules.sections.size, 2);
});

test("rules never revert, whatever the order and repetition of changes", (t) => {
  const { rules: complete, changes } = applyHistory(8);
  const forked = applyHistory(8, "rival").changes.slice(1);
  const delivery = fc.array(fc.constantFrom(...changes, ...forked), {
    maxLength: 6,
  });
  fc.assert(fc.property(fc.array(delivery, { maxLength: 20 }), (batches) => {
    const rules = create();
    applyChanges(rules, changes.slice(0, 1), 0);
    for (const batch of batches) {
      const { sequence } = rules.record;
      applyChanges(rules, batch, 0);
      const reached = rules.record.sequence;
      t.true(reached >= sequence);
      t.like(changes[reached - 1]?.record, { digest: rules.record.digest });
      t.is(rules.sections.get("collective")?.version, reached);
    }
    const delta = changesSince(complete, rules.record.sequence);
    if (delta.kind === "changes") applyChanges(rules, delta.changes, 0);
    t.deepEqual(rulesHead(rules), rulesHead(complete));
  }));
});

test("one department cannot exhaust the memory of the daemons", (t) => {
  const long = terms("collective");
  if (long.kind !== "department") return t.fail("Wrong kind of terms");
  const path = `/${"a".repeat(270_000)}`;
  const requests = long.services.flatMap((each) =>
    each.requests.map((request) => ({ ...request, path }))
  );
  const services = [{ name: "bookings", requests }];
  const { codes } = applySection(section(1, { ...long, services }));
  t.deepEqual(codes, ["section-too-large"]);
  const { rules } = applyHistory(1);
  const [kept] = rules.sections.values();
  for (let count = 0; kept && count < 2_000; count++) {
    rules.sections.set(`agreement@${count}`, kept);
  }
  const excess = applySection(section(1, terms("rival")), rules);
  t.deepEqual(excess.codes, ["too-many-sections"]);
});

test("memory of recent changes is bounded", (t) => {
  const { rules } = applyHistory(300);
  t.is(rules.recentChanges.length, 256);
  t.deepEqual(changesSince(rules, 10), { kind: "too-old" });
  t.like(changesSince(rules, 290), { kind: "changes" });
});
