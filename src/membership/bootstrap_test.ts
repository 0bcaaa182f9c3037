import test from "ava";
import type { Item } from "../store/item.ts";
import type { TableService } from "../store/table_service.ts";
import { createDirectory } from "./create_directory.ts";
import { refreshBootstrap } from "./refresh_bootstrap.ts";
import { merge } from "./merge.ts";
import { ownMember } from "./own_member.ts";

/**
 * Minimal in-memory table that checks write conditions; `down` makes it
 * unavailable.
 */
function fakeTable() {
  const items = new Map<string, Item>();
  const state = { down: false, writes: 0 };
  const unavailable = { kind: "unavailable" as const, message: "down" };
  const table: TableService = {
    get: () => Promise.resolve(unavailable),
    query: ({ from, to }) =>
      Promise.resolve(
        state.down ? unavailable : {
          kind: "found",
          items: [...items.values()]
            .filter(({ sort }) => sort >= from && sort < to),
        },
      ),
    transact([write]) {
      const { item, condition } = write!;
      const old = items.get(item.sort);
      const holds = condition.kind === "absent"
        ? old === undefined
        : condition.kind === "equals" &&
          old?.attributes[condition.attribute] === condition.value;
      if (!holds) return Promise.resolve({ kind: "conflict" });
      state.writes++;
      items.set(item.sort, item);
      return Promise.resolve({ kind: "written" });
    },
  };
  return { table, items, state };
}

function createDirectories(size: number) {
  const all = Array.from({ length: size }, (_, index) =>
    createDirectory({
      address: `10.0.0.${index}:1`,
      dataCentre: "suva",
      instance: "i",
    }, 0));
  const entries = all.map((one) => ownMember(one).entry);
  for (const one of all) merge(one, entries, 0);
  return all;
}

test("few daemons write rows, and only when they change or are old", async (t) => {
  const { table, items, state } = fakeTable();
  const all = createDirectories(12);
  for (const wallMs of [10_000_000, 10_060_000]) {
    for (const directory of all) {
      await refreshBootstrap({ table, directory }, wallMs, 0);
    }
    t.is(items.size, 4);
    t.is(state.writes, 4);
  }
  for (const directory of all) {
    await refreshBootstrap({ table, directory }, 13_700_000, 0);
  }
  t.is(state.writes, 8);
});

test("new daemon writes a row only after trying the listed daemons", async (t) => {
  const { table, state } = fakeTable();
  for (const directory of createDirectories(4)) {
    await refreshBootstrap({ table, directory }, 0, 0);
  }
  const identity = { address: "10.9.0.1:1", dataCentre: "suva", instance: "n" };
  const directory = createDirectory(identity, 0);
  const seeds = await refreshBootstrap({ table, directory }, 0, 29_000);
  t.is(seeds?.length, 4);
  t.is(state.writes, 4);
  await refreshBootstrap({ table, directory }, 0, 30_000);
  t.is(state.writes, 5);
});

test("first two daemons find each other through the table", async (t) => {
  const { table } = fakeTable();
  const [one, two] = ["10.0.0.1:1", "10.0.0.2:1"].map((address) =>
    createDirectory({ address, dataCentre: "suva", instance: "i" }, 0)
  );
  await refreshBootstrap({ table, directory: one! }, 0, 0);
  const seeds = await refreshBootstrap({ table, directory: two! }, 0, 0);
  t.deepEqual(seeds, ["10.0.0.1:1"]);
});

test("malformed row is skipped; outage returns null", async (t) => {
  const { table, items, state } = fakeTable();
  const directory = createDirectories(1)[0]!;
  const broken = { partition: "bootstrap", sort: "suva#2", attributes: {} };
  items.set("suva#2", broken);
  t.deepEqual(await refreshBootstrap({ table, directory }, 0, 0), []);
  state.down = true;
  t.is(await refreshBootstrap({ table, directory }, 0, 0), null);
});
