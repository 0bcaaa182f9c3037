import test, { type ExecutionContext } from "ava";
import { startObjectStore } from "../../standin/start_object_store.ts";
import { startTableService } from "../../standin/start_table_service.ts";
import { createObjectStore } from "./create_object_store.ts";
import { createTableService } from "./create_table_service.ts";
import type { Write } from "./write.ts";

const LISTEN = { address: "127.0.0.1", port: 0, accessKey: "test" };
const CREDENTIALS = { accessKey: "test", secretKey: "s", region: "local" };
const KEY = { partition: "p", sort: "a" };

async function startTable(t: ExecutionContext, options = {}) {
  const standin = await startTableService(LISTEN);
  const endpoint = standin.origin;
  const table = createTableService({ endpoint, ...CREDENTIALS, ...options });
  t.teardown(async () => {
    await table.close();
    await standin.close();
  });
  return { standin, table, control: controller(endpoint) };
}

function controller(origin: string) {
  return (body: object) =>
    fetch(`${origin}/-/control`, {
      method: "POST",
      body: JSON.stringify(body),
    });
}

function insert(sort: string, value: string | number = 1): Write {
  return {
    item: { partition: "p", sort, attributes: { value } },
    condition: { kind: "absent" },
  };
}

test("transaction with one failed condition writes nothing", async (t) => {
  const { table } = await startTable(t);
  t.is((await table.transact([insert("a")])).kind, "written");
  const both = await table.transact([insert("b"), insert("a")]);
  t.is(both.kind, "conflict");
  t.is((await table.get({ partition: "p", sort: "b" })).kind, "absent");
});

test("compare-and-set rejects an outdated value", async (t) => {
  const { table } = await startTable(t);
  await table.transact([insert("a", 1)]);
  const set = (from: number, value: number): Write => ({
    item: { ...KEY, attributes: { value } },
    condition: { kind: "equals", attribute: "value", value: from },
  });
  t.is((await table.transact([set(1, 2)])).kind, "written");
  t.is((await table.transact([set(1, 3)])).kind, "conflict");
  t.deepEqual(await table.get(KEY), {
    kind: "found",
    item: { ...KEY, attributes: { value: 2 } },
  });
});

test("query returns all rows across pages and excludes its end", async (t) => {
  const { table } = await startTable(t);
  const long = "x".repeat(300_000);
  for (const sort of ["a", "b", "c", "d", "e", "f"]) {
    await table.transact([insert(sort, long)]);
  }
  const range = { partition: "p", from: "b", to: "f", limit: 10 };
  const found = await table.query(range);
  if (found.kind !== "found") return t.fail(found.message);
  t.deepEqual(found.items.map(({ sort }) => sort), ["b", "c", "d", "e"]);
  const few = await table.query({ ...range, limit: 3 });
  t.is(few.kind === "found" && few.items.length, 3);
});

test("lost response to a write is reported as unknown", async (t) => {
  const { table, control } = await startTable(t);
  await control({ mode: "lose-response", count: 1 });
  t.is((await table.transact([insert("a")])).kind, "unknown");
  t.is((await table.get(KEY)).kind, "found");
  t.is((await table.transact([insert("b")])).kind, "written");
});

test("write that times out is reported as unknown", async (t) => {
  const { table, control } = await startTable(t, { timeoutMs: 100 });
  // Opens the connection, so that the timeout covers only the exchange.
  while ((await table.get(KEY)).kind !== "absent");
  await control({ mode: "slow", delayMs: 600_000 });
  t.is((await table.transact([insert("a")])).kind, "unknown");
  t.is((await table.get(KEY)).kind, "unavailable");
});

test("outage, wrong key or close makes calls unavailable", async (t) => {
  const { standin, table, control } = await startTable(t);
  await control({ mode: "down", count: 2 });
  t.is((await table.transact([insert("a")])).kind, "unavailable");
  t.is((await table.get(KEY)).kind, "unavailable");
  t.is((await table.get(KEY)).kind, "absent");
  const other = createTableService({
    endpoint: standin.origin,
    ...CREDENTIALS,
    accessKey: "other",
  });
  t.is((await other.transact([insert("a")])).kind, "unavailable");
  await other.close();
  t.is((await other.transact([insert("a")])).kind, "unavailable");
  await standin.close();
  t.is((await table.transact([insert("a")])).kind, "unavailable");
});

test("throttled write is unavailable and takes no effect", async (t) => {
  const { table, control } = await startTable(t);
  await control({ mode: "up", writesPerSecond: 1 });
  const kinds = new Set<string>();
  // Of any 2 writes within one second, the second is throttled.
  for (let write = 0; !kinds.has("unavailable"); write++) {
    const { kind } = await table.transact([insert(`${write}`)]);
    kinds.add(kind);
    const row = await table.get({ partition: "p", sort: `${write}` });
    t.is(row.kind, kind === "written" ? "found" : "absent");
  }
  t.false(kinds.has("unknown"));
});

test("stale mode hides rows written after it was set", async (t) => {
  const { table, control } = await startTable(t);
  await control({ mode: "stale" });
  await table.transact([insert("a")]);
  t.is((await table.get(KEY)).kind, "absent");
  await control({ mode: "up" });
  t.is((await table.get(KEY)).kind, "found");
});

test("object under a key with special characters is found again", async (t) => {
  const standin = await startObjectStore(LISTEN);
  const endpoint = standin.origin;
  const store = createObjectStore({ endpoint, ...CREDENTIALS });
  const key = "sections/a b(1)";
  const body = Buffer.from([0, 255, 10]);
  t.is((await store.get(key)).kind, "absent");
  t.is((await store.put(key, body)).kind, "written");
  t.deepEqual(await store.get(key), { kind: "found", body });
  await controller(endpoint)({ mode: "down" });
  t.is((await store.get(key)).kind, "unavailable");
  t.is((await store.put(key, body)).kind, "unavailable");
  await store.close();
  await standin.close();
});
