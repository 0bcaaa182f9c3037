import test from "ava";
import type { Fleet } from "../fleet/fleet.ts";
import { getJson } from "../fleet/get_json.ts";
import { Ports } from "../fleet/ports.ts";
import { waitUntilReady } from "../fleet/wait_until_ready.ts";
import { callDaemon } from "./call_daemon.ts";
import { createCaller } from "./create_caller.ts";
import { findMember } from "./find_member.ts";
import { restartVm } from "./restart_vm.ts";
import { setFaults } from "./set_faults.ts";
import { smallDeployment } from "./small_deployment.ts";
import { startRequests } from "./start_requests.ts";
import { until } from "./until.ts";
import { withFleet } from "./with_fleet.ts";

const log = "nutmegmoor:daemon,nutmegmoor:relay";
const quick = { method: "GET", path: "/front/quick" };

const PATHS: Record<string, string> = {
  front: "/front/quick",
  back: "/back/slow",
};

/** Sends requests through each daemon; returns those that routed some to the leaving one. */
async function senders(
  fleet: Fleet,
  { leaver, service }: { leaver: string; service: string },
): Promise<string[]> {
  const path = PATHS[service]!;
  const daemons = fleet.members.filter(({ kind, host }) =>
    kind === "daemon" && host !== leaver
  );
  const chose: string[] = [];
  for (const daemon of daemons) {
    const routes = () => daemon.log.join("").split("event=route").slice(1);
    const before = routes().length;
    const results =
      await (await startRequests(daemon, { method: "GET", path, count: 20 }))();
    if (results.some(({ result }) => result !== "good")) {
      throw new Error(JSON.stringify(results));
    }
    const lines = await until("route lines", () => {
      const fresh = routes().slice(before);
      return fresh.length >= 20 ? fresh : null;
    });
    const found = lines.some((line) => line.includes(`daemon=${leaver}:`));
    if (found) chose.push(daemon.host);
  }
  return chose;
}

const LEAVING = [
  {
    service: "front",
    leave: (host: string) =>
      getJson(`http://${host}:${Ports.server}/-/leave`, {}),
  },
  {
    service: "back",
    leave: (host: string) =>
      getJson(`http://${host}:${Ports.local}/-/drain`, undefined, "POST"),
  },
];

test.serial("leaving server or daemon gets no work from a daemon that missed it", async (t) => {
  const options = {
    deployment: smallDeployment,
    base: 105,
    switchable: true,
    log,
  };
  await withFleet(options, async (fleet) => {
    const all = LEAVING.map(({ service }) =>
      findMember(fleet, "daemon", { service, dataCentre: "east" })
    );
    for (const [index, { service, leave }] of LEAVING.entries()) {
      const leaver = all[index]!.host;
      // In the same data centre, whose servers a daemon prefers.
      const isolated = all[1 - index]!;
      const sent = await senders(fleet, { leaver, service });
      t.true(sent.includes(isolated.host), "there must be work to end");
      await setFaults(isolated, { control: true });
      await leave(leaver);
      // A daemon that missed the gossip learns of the departure from one rejection.
      await until(
        "no more work",
        async () => (await senders(fleet, { leaver, service })).length === 0,
      );
      t.deepEqual(await senders(fleet, { leaver, service }), []);
      type Members = { members: { address: string; state: string }[] };
      const { members } = await callDaemon<Members>(isolated, "members");
      const held = members.find(({ address }) => address.startsWith(leaver));
      t.is(held?.state, "up", "the news must have been missed");
      await setFaults(isolated, {});
    }
  });
});

test.serial("rolling restart of all VMs fails no critical request", async (t) => {
  await withFleet({ deployment: smallDeployment, base: 107 }, async (fleet) => {
    const caller = createCaller(fleet);
    const kinds = [quick, { method: "POST", path: "/front/order" }];
    const pending: ReturnType<typeof caller.send>[] = [];
    const timer = setInterval(
      () => pending.push(caller.send(kinds[pending.length % 2]!)),
      10,
    );
    try {
      const vms = fleet.members.filter(({ kind }) => kind === "daemon");
      for (const vm of vms) {
        t.is(await restartVm(fleet, vm), 0);
        await waitUntilReady(fleet);
      }
    } finally {
      clearInterval(timer);
    }
    const all = await Promise.all(pending);
    await caller.close();
    const reasons = new Map<string, number>();
    for (const reason of all.flatMap((request) => request.reasons)) {
      reasons.set(reason, (reasons.get(reason) ?? 0) + 1);
    }
    const failed = all.filter(({ good }) => !good);
    t.log(`${failed.length} of ${all.length} failed; sends not good:`, [
      ...reasons,
    ]);
    t.deepEqual(failed, []);
  });
});
