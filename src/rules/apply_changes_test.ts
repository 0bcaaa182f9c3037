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

const { next, rules: create, section, terms } = fixture;
const first = section(1, terms("collective"));
const fair: Terms = {
  kind: "agreement",
  agreement: "fair",
  parties: ["collective", "harvest"],
  shares: [{ service: "*", weights: { collective: 3, harvest: 1 } }],
};

function history(length: number, department = "collective") {
  const rules = create();
  const changes = Array.from({ length }, (_, index) => {
    const change = next(rules, section(index + 1, terms(department, index)));
    applyChanges(rules, [change], 0);
    return change;
  });
  return { rules, changes };
}

function refusal(section: Section, rules = create()) {
  const before = rulesHead(rules);
  const { issues } = applyChanges(rules, [next(rules, section)], 0);
  return {
    codes: issues.map((issue) => issue.code),
    kept: rulesHead(rules).digest === before.digest,
  };
}

test("forged, unsigned and foreign sections do not take effect", (t) => {
  const { signatures } = section(1, terms("rival"));
  const foreign = { collective: String(signatures.rival) };
  const cases: [Section, string][] = [
    [{ ...first, signatures: {} }, "signature-missing"],
    [{ ...first, signatures: foreign }, "signature-invalid"],
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
    const { codes, kept } = refusal(forged);
    t.true(codes.includes(code), code);
    t.true(kept);
  }
});

test("an older section in a new change is a replay", (t) => {
  const { rules } = history(3);
  t.deepEqual(refusal(section(2, terms("collective", 1)), rules), {
    codes: ["version-replayed"],
    kept: true,
  });
});

test("a rival cannot declare a service of another department", (t) => {
  const { rules } = history(1);
  const stolen = { ...terms("collective"), department: "rival" } as Terms;
  t.deepEqual(refusal(section(1, stolen), rules).codes, ["service-taken"]);
  t.is(getServiceRule(rules, "collective-shop")?.requests.length, 1);
});

test("a change that carries other terms than its record is refused", (t) => {
  const rules = create();
  const { record } = next(rules, first);
  const other = section(1, terms("harvest"));
  const { issues } = applyChanges(rules, [{ record, section: other }], 0);
  t.is(issues[0]?.code, "section-mismatch");
  const damaged = { ...record, id: "other" };
  const result = applyChanges(rules, [{ record: damaged, section: first }], 0);
  t.is(result.issues[0]?.code, "digest-mismatch");
  const lacking = { ...record, stateDigest: "0".repeat(64) };
  const rehashed = { ...lacking, digest: changeDigest(lacking) };
  const state = applyChanges(rules, [{ record: rehashed, section: first }], 0);
  t.is(state.issues[0]?.code, "state-mismatch");
});

test("a fork is reported and not followed", (t) => {
  const { rules } = history(2);
  const other = history(3, "rival");
  const head = rulesHead(rules);
  for (const change of other.changes) {
    const { issues } = applyChanges(rules, [change], 0);
    t.deepEqual(issues.map((issue) => issue.code), ["fork"]);
  }
  t.deepEqual(rulesHead(rules), head);
});

test("an agreement moves weight only between its parties", (t) => {
  const rules = create();
  applyChanges(rules, [next(rules, section(1, fair))], 0);
  t.deepEqual([...departmentWeights(rules, "bookings")], [
    ["collective", 1.5],
    ["harvest", 0.5],
  ]);
});

test("agreements together cannot take a department's whole weight", (t) => {
  const rules = create();
  const give = (to: string): Terms => ({
    ...fair,
    parties: ["collective", to],
    shares: [{ service: "*", weights: { collective: 1, [to]: 999 } }],
  });
  applyChanges(rules, [next(rules, section(1, give("harvest")))], 0);
  const { codes } = refusal(section(1, give("rival")), rules);
  t.deepEqual(codes, ["weight-exhausted"]);
});

test("agreements among others cannot replace one of the same name", (t) => {
  const rules = create();
  applyChanges(rules, [next(rules, section(1, fair))], 0);
  const parties = ["harvest", "rival"];
  const weights: Record<string, number> = { harvest: 9, rival: 1 };
  const shares = [{ service: "*", weights }];
  const other = section(1, { ...fair, parties, shares });
  t.is(applyChanges(rules, [next(rules, other)], 0).applied.length, 1);
  t.is(rules.sections.size, 2);
});

test("no order or repetition of deliveries takes rules back", (t) => {
  const { rules: whole, changes } = history(8);
  const forked = history(8, "rival").changes.slice(1);
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
    const delta = changesSince(whole, rules.record.sequence);
    if (delta.kind === "changes") applyChanges(rules, delta.changes, 0);
    t.deepEqual(rulesHead(rules), rulesHead(whole));
  }));
});

test("one department cannot fill the memory of every daemon", (t) => {
  const long = terms("collective");
  if (long.kind !== "department") return t.fail("Wrong kind of terms");
  const path = `/${"a".repeat(270_000)}`;
  const requests = long.services.flatMap((each) =>
    each.requests.map((request) => ({ ...request, path }))
  );
  const services = [{ name: "bookings", requests }];
  const { codes } = refusal(section(1, { ...long, services }));
  t.deepEqual(codes, ["section-too-large"]);
  const { rules } = history(1);
  const [kept] = rules.sections.values();
  for (let count = 0; kept && count < 2_000; count++) {
    rules.sections.set(`agreement@${count}`, kept);
  }
  const many = refusal(section(1, terms("rival")), rules);
  t.deepEqual(many.codes, ["too-many-sections"]);
});

test("memory of recent changes is bounded", (t) => {
  const { rules } = history(300);
  t.is(rules.recentChanges.length, 256);
  t.deepEqual(changesSince(rules, 10), { kind: "too-old" });
  t.like(changesSince(rules, 290), { kind: "changes" });
});
