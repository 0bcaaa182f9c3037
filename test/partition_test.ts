import { writeFileSync } from "node:fs";
import { join } from "node:path";
import test from "ava";
import type { Member } from "../fleet/member.ts";
import { callDaemon } from "./call_daemon.ts";
import { waitUntilInEffect } from "./wait_until_in_effect.ts";
import { setFaults } from "./set_faults.ts";
import { smallDeployment } from "./small_deployment.ts";
import { addDaemon } from "./add_daemon.ts";
import { startRequests } from "./start_requests.ts";
import { submit } from "./submit.ts";
import { until } from "./until.ts";
import { withFleet } from "./with_fleet.ts";

type Status = { unreachableDataCentres: string[]; members: number };

async function quick(daemon: Member): Promise<string[]> {
  const request = { method: "GET", path: "/front/quick", count: 10 };
  const results = await (await startRequests(daemon, request))();
  return [...new Set(results.map(({ result }) => result))];
}

/** Waits for a daemon's view of the fleet; the error shows the last view and the log. */
async function seen(daemon: Member, expected: Status): Promise<void> {
  const wanted = JSON.stringify(expected);
  let view = "none";
  try {
    await until(`view of ${daemon.name}`, async () => {
      const status = await callDaemon<Status>(daemon, "status");
      const { unreachableDataCentres, members } = status;
      view = JSON.stringify({ unreachableDataCentres, members });
      return view === wanted;
    });
  } catch (cause) {
    const log = daemon.log.join("");
    const message = `Expected ${wanted}, last seen ${view}; its log: ${log}`;
    throw new Error(message, { cause });
  }
}

const BASE = 109;
const LOG = "nutmegmoor:daemon,nutmegmoor:membership";
const PLATFORM = `127.${BASE}.0.`;
const EAST = `127.${BASE}.1.`;
const WEST = `127.${BASE}.2.`;

test.serial("partitioned data centre serves, admits a daemon and catches up", async (t) => {
  const options = {
    deployment: smallDeployment,
    base: BASE,
    switchable: true,
    log: LOG,
  };
  await withFleet(options, async (fleet) => {
    const daemons = fleet.members.filter(({ kind }) => kind === "daemon");
    const east = daemons.filter(({ dataCentre }) => dataCentre === "east");
    const west = daemons.filter(({ dataCentre }) => dataCentre === "west");
    const cutOff = { hosts: [PLATFORM, EAST] };
    const sees = (daemon: Member, lost: string[], members: number) =>
      seen(daemon, { unreachableDataCentres: lost, members });
    for (const daemon of east) await setFaults(daemon, { hosts: [WEST] });
    for (const daemon of west) await setFaults(daemon, cutOff);
    for (const daemon of east) await sees(daemon, ["west"], 4);
    for (const daemon of west) await sees(daemon, ["east"], 4);

    const change = { version: 2, mark: 2, changeId: "while-cut-off" };
    t.like(await submit(fleet, change), { kind: "accepted", sequence: 2 });
    await waitUntilInEffect(east, 2);
    for (const daemon of daemons) t.deepEqual(await quick(daemon), ["good"]);

    const vm = { host: `${WEST}9`, service: "none", dataCentre: "west" };
    const settings = join(fleet.directory, `${vm.host}.ini`);
    writeFileSync(`${settings}.faults`, JSON.stringify(cutOff));
    const admitted = await addDaemon(fleet, vm);
    await waitUntilInEffect([admitted], 1);
    await until(
      "members of the new daemon",
      async () => (await callDaemon<Status>(admitted, "status")).members >= 3,
    );
    await until(
      "a server for the new daemon",
      async () => (await quick(admitted)).join() === "good",
    );
    await waitUntilInEffect(west, 1);

    for (const daemon of [...daemons, admitted]) await setFaults(daemon, {});
    for (const daemon of [...daemons, admitted]) await sees(daemon, [], 5);
    t.deepEqual(await waitUntilInEffect([...daemons, admitted], 2), [
      "while-cut-off",
    ]);
    for (const daemon of daemons) t.deepEqual(await quick(daemon), ["good"]);
  });
});
