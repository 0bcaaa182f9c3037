import test from "ava";
import { applyChanges } from "./apply_changes.ts";
import { applySnapshot } from "./apply_snapshot.ts";
import { compareHead } from "./compare_head.ts";
import { rulesHead } from "./rules_head.ts";
import type { Rules } from "./rules.ts";
import type { Snapshot } from "./snapshot.ts";
import { takeSnapshot } from "./take_snapshot.ts";
import { fixture } from "./test_fixture.ts";

const { next, section, terms } = fixture;

function advance(rules: Rules, department: string, version: number) {
  const change = next(rules, section(version, terms(department, version)));
  applyChanges(rules, [change], 0);
}

function two() {
  const rules = fixture.rules();
  advance(rules, "collective", 1);
  advance(rules, "harvest", 1);
  const snapshot = takeSnapshot(rules) as Snapshot;
  return { rules, snapshot };
}

test("a daemon with empty memory reaches the same rules", (t) => {
  const { rules, snapshot } = two();
  const fresh = fixture.rules();
  t.deepEqual(applySnapshot(fresh, snapshot, 5), { applied: true, issues: [] });
  t.deepEqual(rulesHead(fresh), rulesHead(rules));
  t.deepEqual([...fresh.services], [...rules.services]);
  advance(rules, "harvest", 2);
  const newest = rules.recentChanges.slice(-1).map(({ change }) => change);
  t.is(applyChanges(fresh, newest, 6).applied.length, 1);
});

test("a snapshot that is incomplete or forged is not followed", (t) => {
  const { snapshot } = two();
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

test("a snapshot cannot take a section back or drop it", (t) => {
  const { rules, snapshot } = two();
  const other = fixture.rules();
  for (const version of [1, 2, 3, 4]) advance(other, "rival", version);
  const fork = takeSnapshot(other) as Snapshot;
  t.is(applySnapshot(rules, fork, 0).issues[0]?.code, "fork");
  advance(rules, "harvest", 2);
  t.is(applySnapshot(rules, snapshot, 0).issues[0]?.code, "older-head");
  t.is(rules.sections.get("harvest")?.version, 2);
});

test("a late daemon receives only the sections that it lacks", (t) => {
  const { rules, snapshot } = two();
  const late = fixture.rules();
  applySnapshot(late, snapshot, 0);
  advance(rules, "harvest", 2);
  const known = [...late.sections.values()];
  const partial = takeSnapshot(rules, known) as Snapshot;
  t.is(partial.sections.length, 1);
  t.true(applySnapshot(late, partial, 0).applied);
  t.deepEqual(rulesHead(late), rulesHead(rules));
});

test("a snapshot cannot replace the signatures of a section in effect", (t) => {
  const { rules, snapshot } = two();
  const late = fixture.rules();
  applySnapshot(late, snapshot, 0);
  advance(rules, "harvest", 2);
  const newer = takeSnapshot(rules) as Snapshot;
  const sections = newer.sections.map((each) =>
    each.version === 1 ? { ...each, signatures: {} } : each
  );
  t.true(applySnapshot(late, { ...newer, sections }, 0).applied);
  const kept = late.sections.get("collective")?.section.signatures;
  t.truthy(kept?.collective);
});

test("an older head and a fork are told apart from a newer head", (t) => {
  const { rules } = two();
  const head = rulesHead(rules);
  t.is(compareHead(rules, head).kind, "same");
  t.is(compareHead(rules, { ...head, sequence: 1 }).kind, "older");
  t.is(compareHead(rules, { ...head, digest: "0".repeat(64) }).kind, "fork");
  t.like(compareHead(rules, { ...head, sequence: 7 }), { after: 2 });
});
