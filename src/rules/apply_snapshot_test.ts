import test from "ava";
import { applyChanges } from "./apply_changes.ts";
import { applySnapshot } from "./apply_snapshot.ts";
import { compareHead } from "./compare_head.ts";
import { rulesHead } from "./rules_head.ts";
import type { Rules } from "./rules.ts";
import type { Snapshot } from "./snapshot.ts";
import { takeSnapshot } from "./take_snapshot.ts";
import { fixture } from "./test_fixture.ts";

const { nextChange, section, terms } = fixture;

function advance(rules: Rules, department: string, version: number) {
  const change = nextChange(
    rules,
    section(version, terms(department, version)),
  );
  applyChanges(rules, [change], 0);
}

function rulesWithTwoSections() {
  const rules = fixture.rules();
  advance(rules, "collective", 1);
  advance(rules, "harvest", 1);
  const snapshot = takeSnapshot(rules) as Snapshot;
  return { rules, snapshot };
}

test("a restarted daemon reaches the same rules by a snapshot", (t) => {
  const { rules, snapshot } = rulesWithTwoSections();
  const fresh = fixture.rules();
  t.deepEqual(applySnapshot(fresh, snapshot, 5), { applied: true, issues: [] });
  t.deepEqual(rulesHead(fresh), rulesHead(rules));
  t.deepEqual([...fresh.services], [...rules.services]);
  advance(rules, "harvest", 2);
  const newest = rules.recentChanges.slice(-1).map(({ change }) => change);
  t.is(applyChanges(fresh, newest, 6).applied.length, 1);
});

test("a snapshot that is incomplete or forged is not applied", (t) => {
  const { snapshot } = rulesWithTwoSections();
  const { record, versions, sections } = snapshot;
  const [one, other] = sections;
  if (!one || !other) return t.fail("Sections are missing");
  const cases: [Snapshot, string][] = [
    [{ record, versions: versions.slice(1), sections }, "state-mismatch"],
    [{ record, versions, sections: [one] }, "section-missing"],
    [
      { record, versions, sections: [one, { ...other, signatures: {} }] },
      "signature-missing",
    ],
    [
      { ...snapshot, record: { ...record, sequence: 9 } },
      "digest-mismatch",
    ],
  ];
  for (const [damaged, code] of cases) {
    const fresh = fixture.rules();
    const { applied, issues } = applySnapshot(fresh, damaged, 0);
    t.false(applied);
    t.true(issues.some((issue) => issue.code === code), code);
    t.is(fresh.sections.size, 0);
  }
});

test("a snapshot can neither revert nor drop a section", (t) => {
  const { rules, snapshot } = rulesWithTwoSections();
  const other = fixture.rules();
  for (const version of [1, 2, 3, 4]) advance(other, "rival", version);
  const fork = takeSnapshot(other) as Snapshot;
  t.is(applySnapshot(rules, fork, 0).issues[0]?.code, "fork");
  advance(rules, "harvest", 2);
  t.is(applySnapshot(rules, snapshot, 0).issues[0]?.code, "older-head");
  t.is(rules.sections.get("harvest")?.version, 2);
});

test("a daemon that is behind receives only the sections that it lacks", (t) => {
  const { rules, snapshot } = rulesWithTwoSections();
  const outdated = fixture.rules();
  applySnapshot(outdated, snapshot, 0);
  advance(rules, "harvest", 2);
  const known = [...outdated.sections.values()];
  const partial = takeSnapshot(rules, known) as Snapshot;
  t.is(partial.sections.length, 1);
  t.true(applySnapshot(outdated, partial, 0).applied);
  t.deepEqual(rulesHead(outdated), rulesHead(rules));
});

test("a snapshot cannot replace the signatures of a section in effect", (t) => {
  const { rules, snapshot } = rulesWithTwoSections();
  const outdated = fixture.rules();
  applySnapshot(outdated, snapshot, 0);
  advance(rules, "harvest", 2);
  const newer = takeSnapshot(rules) as Snapshot;
  const sections = newer.sections.map((each) =>
    each.version === 1 ? { ...each, signatures: {} } : each
  );
  t.true(applySnapshot(outdated, { ...newer, sections }, 0).applied);
  const kept = outdated.sections.get("collective")?.section.signatures;
  t.truthy(kept?.collective);
});

test("older, newer and forked heads are distinguished", (t) => {
  const { rules } = rulesWithTwoSections();
  const head = rulesHead(rules);
  t.is(compareHead(rules, head).kind, "same");
  t.is(compareHead(rules, { ...head, sequence: 1 }).kind, "older");
  t.is(compareHead(rules, { ...head, digest: "0".repeat(64) }).kind, "fork");
  t.like(compareHead(rules, { ...head, sequence: 7 }), { after: 2 });
});
