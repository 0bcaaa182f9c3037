import test from "ava";
import { endMember } from "../fleet/end_member.ts";
import type { Fleet } from "../fleet/fleet.ts";
import { getJson } from "../fleet/get_json.ts";
import type { Member } from "../fleet/member.ts";
import { Ports } from "../fleet/ports.ts";
import { storeRules } from "../naive/store_rules.ts";
import { generateKeys } from "../src/library.ts";
import { createMemoryTable } from "../standin/create_memory_table.ts";
import { startTableService } from "../standin/start_table_service.ts";
import { callDaemon } from "./call_daemon.ts";
import { waitUntilInEffect } from "./wait_until_in_effect.ts";
import { smallDeployment } from "./small_deployment.ts";
import { addDaemon } from "./add_daemon.ts";
import { submit } from "./submit.ts";
import { until } from "./until.ts";
import { withFleet } from "./with_fleet.ts";

const daemonsOf = (fleet: Fleet) =>
  fleet.members.filter(({ kind, process: { exitCode, signalCode } }) =>
    kind === "daemon" && exitCode === null && signalCode === null
  );

const setStore = (fleet: Fleet, control: object) =>
  getJson(`http://${fleet.platform}:${Ports.tableService}/-/control`, control);

const logged = (daemon: Member, text: string) =>
  until(`${text} at ${daemon.name}`, () => daemon.log.join("").includes(text));

test("naive store loses one of two accepted changes", async (t) => {
  const table = createMemoryTable();
  const write = (body: string) => storeRules(table, { name: "shop", body });
  t.deepEqual(await Promise.all([write("one"), write("two")]), [
    "accepted",
    "accepted",
  ]);
  t.is([...table.rows.values()].length, 1);
});

test("naive store reverts to an older change when a lost write is retried", async (t) => {
  const table = createMemoryTable();
  const write = (body: string) => storeRules(table, { name: "shop", body });
  table.transactionFaults = ["response-lost"];
  t.is(await write("one"), "failed");
  t.is(await write("two"), "accepted");
  t.is(await write("one"), "accepted");
  t.is([...table.rows.values()][0]?.attributes["body"], "one");
});

test.serial("accepted rules reach all daemons and are never reverted", async (t) => {
  const log = "nutmegmoor:daemon,nutmegmoor:rules";
  await withFleet(
    { deployment: smallDeployment, base: 108, log },
    async (fleet) => {
      const change = (version: number, mark = version) => ({
        version,
        mark,
        changeId: `change-${version}-${mark}`,
      });
      await setStore(fleet, { mode: "lose-response", count: 1 });
      t.like(await submit(fleet, change(2)), { kind: "accepted", sequence: 2 });
      t.deepEqual(await waitUntilInEffect(daemonsOf(fleet), 2), ["change-2-2"]);

      const rivals = [change(3, 31), change(3, 32)];
      const outcomes = await Promise.all(
        rivals.map((rival) => submit(fleet, rival)),
      );
      t.deepEqual(outcomes.map(({ kind }) => kind).sort(), [
        "accepted",
        "conflict",
      ]);
      const winner = outcomes.findIndex(({ kind }) => kind === "accepted");
      const winnerId = rivals[winner]!.changeId;
      t.like(outcomes[1 - winner], { changeId: winnerId, version: 3 });
      t.deepEqual(await waitUntilInEffect(daemonsOf(fleet), 3), [winnerId]);

      await setStore(fleet, { mode: "slow", delayMs: 1_500 });
      const slow = await submit(fleet, change(4));
      await setStore(fleet, { mode: "up" });
      t.log(`store slow: ${slow.kind}`);
      const settled = await submit(fleet, change(4));
      t.true(["accepted", "already-accepted"].includes(settled.kind));
      if (slow.kind === "accepted") t.is(settled.kind, "already-accepted");
      t.deepEqual(await waitUntilInEffect(daemonsOf(fleet), 4), ["change-4-4"]);

      const stranger = await addDaemon(fleet, {
        host: "127.108.1.9",
        service: "none",
        dataCentre: "east",
      }, generateKeys().publicKey);
      await logged(stranger, "event=rules-not-followed");
      t.like(await callDaemon(stranger, "status"), { rulesSequence: 0 });
      await endMember(stranger);

      for (const old of daemonsOf(fleet)) {
        await endMember(old);
        await waitUntilInEffect([await addDaemon(fleet, old)], 4);
      }
      const replaced = daemonsOf(fleet);
      await Promise.all(replaced.map((old) => endMember(old)));
      await Promise.all(replaced.map((old) => addDaemon(fleet, old)));
      t.deepEqual(await waitUntilInEffect(daemonsOf(fleet), 4), ["change-4-4"]);

      await setStore(fleet, { mode: "down" });
      t.is((await submit(fleet, change(5))).kind, "not-accepted");
      const [first] = daemonsOf(fleet);
      await logged(first!, "event=store-unavailable");
      t.deepEqual(await waitUntilInEffect(daemonsOf(fleet), 4), ["change-4-4"]);

      await olderStore(fleet, async () => {
        const older = await submit(fleet, { ...change(1), changeId: "older" });
        t.is(older.kind, "accepted");
        for (const daemon of daemonsOf(fleet)) {
          await logged(daemon, "code=older-head");
        }
        t.deepEqual(await waitUntilInEffect(daemonsOf(fleet), 4), [
          "change-4-4",
        ]);
      });

      // Without the store and without any state, daemons have no rules in effect.
      const lost = daemonsOf(fleet);
      await Promise.all(lost.map((old) => endMember(old)));
      const fresh = await Promise.all(lost.map((old) => addDaemon(fleet, old)));
      for (const daemon of fresh) {
        await logged(daemon, "event=store-unavailable");
        t.like(await callDaemon(daemon, "status"), { rulesSequence: 0 });
      }
    },
  );
});

/** Replaces the table service by an empty one. */
async function olderStore(
  fleet: Fleet,
  work: () => Promise<void>,
): Promise<void> {
  await endMember(fleet.members.find(({ service }) => service === "table")!);
  const store = await startTableService({
    address: fleet.platform,
    port: Ports.tableService,
    accessKey: "fleet",
  });
  try {
    await work();
  } finally {
    await store.close();
  }
}
