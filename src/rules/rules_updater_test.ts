import test from "ava";
import { setImmediate } from "node:timers/promises";
import { createMemoryObjects } from "../../standin/memory_objects.ts";
import { createMemoryTable } from "../../standin/memory_table.ts";
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
  const world = { now: 0, pullCount: 0, offered: change };
  const updater = createRulesUpdater({
    rules,
    stores,
    client: {
      pull: () => {
        world.pullCount++;
        const changes = world.offered ? [world.offered] : [];
        return Promise.resolve({ kind: "changes", changes });
      },
      snapshot: () => Promise.resolve(null),
      push: () => Promise.resolve(true),
      report: () => Promise.resolve(null),
    },
    now: () => world.now,
    random: () => 0.5,
    log: () => {},
    address: "127.0.0.1:7001",
    dataCentre: "suva",
    live: () => ["127.0.0.1:7001"],
    peers: () => [],
  });
  return { rules, keeper: updater, world };
}

test("a refused peer is asked ever less often until it is put right", async (t) => {
  const valid = fixture.next(fixture.rules(), section(1, terms("rival")));
  const forged = { ...valid, section: { ...valid.section, signatures: {} } };
  const { rules, keeper, world } = setUp(null, forged);
  const gossip = async (seconds: number) => {
    for (let second = 0; second < seconds; second++) {
      keeper.observeHead(PEER, 1);
      await setImmediate();
      world.now += 1_000;
    }
  };
  await gossip(600);
  // After 0, 5, 15, 35 and 75 s, then once a minute.
  t.is(world.pullCount, 13);
  t.is(rules.record.sequence, 0);
  world.offered = valid;
  await gossip(60);
  t.is(rules.record.sequence, 1);
});

test("a refused store row does not make every poll read the whole state", async (t) => {
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
  const { keeper, world } = setUp({ table: counted, objects });
  for (let second = 0; second < 120; second++) {
    keeper.tick();
    for (let turn = 0; turn < 20; turn++) await setImmediate();
    world.now += 1_000;
  }
  // Five polls of a head, a state, a change and a section row.
  t.is(reads, 20);
});

test("a poll after a submit sees it although another poll is under way", async (t) => {
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
  const { rules, keeper } = setUp({ table: slow, objects });
  const before = keeper.poll();
  const submission = { objects, changeId: "one", departmentKeys };
  await submitChange(table, {
    ...submission,
    section: section(1, terms("rival")),
  });
  const after = [keeper.poll(), keeper.poll()];
  releaseReads();
  await before;
  t.is(rules.record.sequence, 0);
  for (const poll of after) {
    await poll;
    t.is(rules.record.sequence, 1);
  }
});

test("a forged section is found in whichever slice it is", async (t) => {
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
