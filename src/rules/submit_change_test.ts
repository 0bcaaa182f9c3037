import test from "ava";
import { createMemoryObjects } from "../../standin/create_memory_objects.ts";
import { createMemoryTable } from "../../standin/create_memory_table.ts";
import { applyChanges } from "./apply_changes.ts";
import { readChanges } from "./read_changes.ts";
import { readHead } from "./read_head.ts";
import { refreshRules } from "./refresh_rules.ts";
import { rulesHead } from "./rules_head.ts";
import type { Section } from "./section.ts";
import { submitChange } from "./submit_change.ts";
import type { Terms } from "./terms.ts";
import { fixture } from "./test_fixture.ts";

const { departmentKeys, section, terms } = fixture;

function setUp() {
  const table = createMemoryTable();
  const objects = createMemoryObjects();
  const submit = (changeId: string, section: Section) =>
    submitChange(table, { objects, section, changeId, departmentKeys });
  return { table, objects, submit };
}

const first = section(1, terms("collective"));
const second = section(2, terms("collective", 1));

test("the outcome of a lost response is determined by reading back", async (t) => {
  const { table, submit } = setUp();
  table.transactionFaults = ["response-lost"];
  t.is((await submit("one", first)).kind, "accepted");
  table.transactionFaults = ["request-lost", "response-lost"];
  t.like(await submit("two", second), { kind: "accepted", sequence: 2 });
  t.is((await submit("one", first)).kind, "already-accepted");
  t.like(await readHead(table), { head: { sequence: 2, changeId: "two" } });
});

test("the outcome of a submit without any response is not known", async (t) => {
  const { table, submit } = setUp();
  table.transactionFaults = Array(9).fill("request-lost");
  t.is((await submit("one", first)).kind, "not-known");
  table.transactionFaults = [];
  t.is((await submit("one", first)).kind, "accepted");
});

test("the outcome of a lost response before an outage is not known", async (t) => {
  const { table, submit } = setUp();
  table.transactionFaults = ["response-lost"];
  const { transact } = table;
  table.transact = async (writes) => {
    const written = await transact(writes);
    table.down = true;
    return written;
  };
  t.is((await submit("one", first)).kind, "not-known");
  table.down = false;
  t.is((await submit("one", first)).kind, "already-accepted");
});

test("a write without a response that another change preceded is not accepted", async (t) => {
  const { table, submit } = setUp();
  table.transactionFaults = [
    "request-lost",
    "conflict",
    "conflict",
    "conflict",
    "conflict",
  ];
  const { transact } = table;
  table.transact = async (writes) => {
    const answer = await transact(writes);
    table.transact = transact;
    const fates = table.transactionFaults.splice(0);
    await submit("two", section(1, terms("harvest")));
    table.transactionFaults = fates;
    return answer;
  };
  t.is((await submit("one", first)).kind, "not-accepted");
});

test("a write that takes effect during a later attempt is accepted once", async (t) => {
  const { table, submit } = setUp();
  table.transactionFaults = ["request-lost"];
  const { transact } = table;
  table.transact = async (late) => {
    const answer = await transact(late);
    table.transact = transact;
    table.beforeTransaction = () => transact(late);
    return answer;
  };
  t.like(await submit("one", first), { kind: "accepted", sequence: 1 });
  t.like(await readHead(table), { head: { sequence: 1 } });
});

test("a submit to a store that is down is not accepted", async (t) => {
  const { table, submit } = setUp();
  table.down = true;
  t.is((await submit("one", first)).kind, "not-accepted");
  t.is(table.rows.size, 0);
});

test("the later change to a version is a conflict that names the earlier one", async (t) => {
  const { table, submit } = setUp();
  table.beforeTransaction = () =>
    submit("winner", section(1, terms("collective", 7)));
  t.deepEqual(await submit("loser", first), {
    kind: "conflict",
    sequence: 1,
    version: 1,
    changeId: "winner",
  });
});

test("concurrent changes of different departments are both accepted", async (t) => {
  const { table, submit } = setUp();
  table.beforeTransaction = () => submit("two", section(1, terms("harvest")));
  t.like(await submit("one", first), { kind: "accepted", sequence: 2 });
});

test("a forged or contradictory section is not written", async (t) => {
  const { table, submit } = setUp();
  const unsigned = { ...first, signatures: {} };
  t.is((await submit("one", unsigned)).kind, "rejected");
  t.is((await submit("one", second)).kind, "rejected");
  t.is(table.rows.size, 0);
  await submit("one", first);
  const conflicting = { ...terms("collective"), department: "rival" } as Terms;
  t.is((await submit("two", section(1, conflicting))).kind, "rejected");
});

test("a submit is rejected if the store loses its state meanwhile", async (t) => {
  const { table, submit } = setUp();
  await submit("one", first);
  table.beforeTransaction = () => Promise.resolve(table.rows.clear());
  t.is((await submit("two", second)).kind, "rejected");
});

test("a large body goes to the object store under its digest", async (t) => {
  const { table, objects, submit } = setUp();
  const small = terms("collective");
  if (small.kind !== "department") return t.fail("Wrong kind of terms");
  const services = Array.from({ length: 500 }, (_, index) => ({
    name: `service-${index}`,
    requests: small.services[0]?.requests ?? [],
  }));
  const large = section(1, { ...small, services });
  objects.down = true;
  t.is((await submit("one", large)).kind, "not-accepted");
  objects.down = false;
  t.is((await submit("one", large)).kind, "accepted");
  const rules = fixture.rules();
  t.is(await refreshRules({ table, objects }, rules), undefined);
  t.deepEqual([...objects.bodies.keys()], [rules.record.sectionDigest]);
  t.is(rules.services.size, 500);
});

test("changes that are read result in the same state as a snapshot", async (t) => {
  const { table, objects, submit } = setUp();
  for (const version of [1, 2, 3]) {
    await submit(`c${version}`, section(version, terms("collective", version)));
    await submit(`h${version}`, section(version, terms("harvest", version)));
  }
  const stores = { table, objects };
  const [daemon, fresh] = [fixture.rules(), fixture.rules()];
  for (const after of [0, 4]) {
    const read = await readChanges(stores, { after, limit: 4 });
    if (read.kind === "found") applyChanges(daemon, read.changes, 0);
  }
  await refreshRules(stores, fresh);
  t.is(daemon.record.sequence, 6);
  t.deepEqual(rulesHead(fresh), rulesHead(daemon));
  for (const { attributes } of table.rows.values()) {
    const { body } = attributes;
    if (typeof body !== "string") continue;
    attributes.body = body.replace('"retries":1', '"retries":9');
  }
  const damaged = await readChanges(stores, { after: 0, limit: 4 });
  t.is(damaged.kind, "invalid");
});
