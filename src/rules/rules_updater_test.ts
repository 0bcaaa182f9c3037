import test from "ava";
import { setImmediate } from "node:timers/promises";
import { createMemoryObjects } from "../../standin/create_memory_objects.ts";
import { createMemoryTable } from "../../standin/create_memory_table.ts";
import type { Change } from "./change.ts";
import { checkSections } from "./check_sections.ts";
import { createRulesUpdater } from "./create_rules_updater.ts";
import type { Stores } from "./stores.ts";
import { submitChange } from "./submit_change.ts";
import { fixture } from "./test_fixture.ts";

const { departmentKeys, section, terms } = fixture;
const PEER = "127.0.0.2:7001";

function setUp(stores: Stores | null, change?: Change) {
  const rules = fixture.rules();
  const environment = { now: 0, pullCount: 0, offered: change };
  const updater = createRulesUpdater({
    rules,
    stores,
    client: {
      pull: () => {
        environment.pullCount++;
        const changes = environment.offered ? [environment.offered] : [];
        return Promise.resolve({ kind: "changes", changes });
      },
      snapshot: () => Promise.resolve(null),
      push: () => Promise.resolve(true),
      report: () => Promise.resolve(null),
    },
    now: () => environment.now,
    random: () => 0.5,
    log: () => {},
    address: "127.0.0.1:7001",
    dataCentre: "suva",
    live: () => ["127.0.0.1:7001"],
    peers: () => [],
  });
  return { rules, updater, environment };
}

test("a peer with invalid rules is asked with backoff until they are valid", async (t) => {
  const valid = fixture.nextChange(fixture.rules(), section(1, terms("rival")));
  const forged = { ...valid, section: { ...valid.section, signatures: {} } };
  const { rules, updater, environment } = setUp(null, forged);
  const gossip = async (seconds: number) => {
    for (let second = 0; second < seconds; second++) {
      updater.observeHead(PEER, 1);
      await setImmediate();
      environment.now += 1_000;
    }
  };
  await gossip(600);
  // Pulls after 0, 5, 15, 35 and 75 s, then once a minute.
  t.is(environment.pullCount, 13);
  t.is(rules.record.sequence, 0);
  environment.offered = valid;
  await gossip(60);
  t.is(rules.record.sequence, 1);
});

test("an invalid row in the store does not make every poll read the state", async (t) => {
  const table = createMemoryTable();
  const objects = createMemoryObjects();
  const submission = { objects, changeId: "one", departmentKeys };
  await submitChange(table, {
    ...submission,
    section: section(1, terms("rival")),
  });
  for (const { sort, attributes } of table.rows.values()) {
    if (sort.startsWith("section#")) attributes.signatures = "{}";
  }
  let reads = 0;
  const counted = {
    ...table,
    get: (key: Parameters<typeof table.get>[0]) => {
      reads++;
      return table.get(key);
    },
  };
  const { updater, environment } = setUp({ table: counted, objects });
  for (let second = 0; second < 120; second++) {
    updater.tick();
    for (let turn = 0; turn < 20; turn++) await setImmediate();
    environment.now += 1_000;
  }
  // Five polls, each of which reads a head, a state, a change and a section row.
  t.is(reads, 20);
});

test("a poll reads a change submitted during a poll in progress", async (t) => {
  const table = createMemoryTable();
  const objects = createMemoryObjects();
  let releaseReads = () => {};
  const gate = new Promise<void>((resolve) => releaseReads = resolve);
  const slow = {
    ...table,
    get: async (key: Parameters<typeof table.get>[0]) => {
      const row = await table.get(key);
      await gate;
      return row;
    },
  };
  const { rules, updater } = setUp({ table: slow, objects });
  const before = updater.poll();
  const submission = { objects, changeId: "one", departmentKeys };
  await submitChange(table, {
    ...submission,
    section: section(1, terms("rival")),
  });
  const after = [updater.poll(), updater.poll()];
  releaseReads();
  await before;
  t.is(rules.record.sequence, 0);
  for (const poll of after) {
    await poll;
    t.is(rules.record.sequence, 1);
  }
});

test("a forged section is found in any batch", async (t) => {
  const sections = Array.from(
    { length: 50 },
    (_, index) => section(index + 1, terms("rival")),
  );
  const rules = fixture.rules();
  t.is((await checkSections(rules, sections)).passed.size, 50);
  for (const at of [0, 19, 20, 49]) {
    const forged = sections.with(at, { ...sections[at]!, signatures: {} });
    const { passed, issues } = await checkSections(rules, forged);
    t.deepEqual(issues.map(({ code }) => code), ["signature-missing"]);
    t.false(passed.has(forged[at]!));
  }
});
