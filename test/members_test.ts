import { readFileSync } from "node:fs";
import test from "ava";
import { endMember } from "../fleet/end_member.ts";
import type { Fleet } from "../fleet/fleet.ts";
import type { Member } from "../fleet/member.ts";
import { MAX_CONTROL_BYTES } from "../src/security/max_control_bytes.ts";
import { callDaemon } from "./call_daemon.ts";
import { findMember } from "./find_member.ts";
import { rawControl } from "./raw_control.ts";
import { smallDeployment } from "./small_deployment.ts";
import { startRequests } from "./start_requests.ts";
import { until } from "./until.ts";
import { withFleet } from "./with_fleet.ts";

type Listed = { address: string; reachable: boolean; incarnation: number };

const daemonsOf = (fleet: Fleet) =>
  fleet.members.filter(({ kind }) => kind === "daemon");

async function listed(daemon: Member): Promise<Listed[]> {
  return (await callDaemon<{ members: Listed[] }>(daemon, "members")).members;
}

/** Waits until each observer sees exactly these daemons as reachable. */
async function allSee(observers: Member[], expected: Member[]): Promise<void> {
  const wanted = expected.map(({ host }) => host).sort().join();
  for (const daemon of observers) {
    await until(`view of ${daemon.name}`, async () => {
      const reachable = (await listed(daemon))
        .filter((each) => each.reachable)
        .map(({ address }) => address.split(":")[0]);
      return reachable.sort().join() === wanted;
    });
  }
}

test.serial("paused daemon rejoins and a killed one is detected", async (t) => {
  await withFleet({ deployment: smallDeployment, base: 110 }, async (fleet) => {
    const all = daemonsOf(fleet);
    const target = findMember(fleet, "daemon", {
      service: "back",
      dataCentre: "east",
    });
    const others = all.filter((daemon) => daemon !== target);
    await allSee(all, all);
    const before = await listed(target);
    target.process.kill("SIGSTOP");
    await allSee(others, others);
    target.process.kill("SIGCONT");
    await allSee(all, all);
    const after = await listed(target);
    const identity = ({ address, incarnation }: Listed) =>
      `${address} ${incarnation}`;
    t.deepEqual(after.map(identity), before.map(identity));
    await endMember(target, "SIGKILL");
    await allSee(others, others);
    for (const daemon of others) {
      const send = { method: "GET", path: "/back/slow", count: 10 };
      const results = await (await startRequests(daemon, send))();
      t.deepEqual(results.filter(({ result }) => result !== "good"), []);
    }
  });
});

test.serial("invalid control messages are rejected, counted and logged", async (t) => {
  const options = {
    deployment: smallDeployment,
    base: 111,
    log: "nutmegmoor:*",
  };
  await withFleet(options, async (fleet) => {
    const [daemon] = daemonsOf(fleet);
    const settings = readFileSync(daemon!.args.at(-1)!, "utf8");
    const key = /installation-key = (.*)/.exec(settings)![1]!;
    const rejected = async () =>
      (await callDaemon<{ rejectedControlMessages: Record<string, number> }>(
        daemon!,
        "status",
      )).rejectedControlMessages;
    const body = JSON.stringify({ reports: [] });
    const large = "x".repeat(MAX_CONTROL_BYTES + 1);
    const cases = [
      { reason: "unsigned", message: { body }, statuses: [401] },
      {
        reason: "forged",
        message: { key: "another key of at least 32 characters", body },
        statuses: [401],
      },
      {
        reason: "oversized",
        message: { key, body: large },
        statuses: [413, 0],
      },
      { reason: "malformed", message: { key, body: "{" }, statuses: [400] },
      {
        reason: "malformed",
        message: { body, credential: "x" },
        statuses: [400],
      },
    ];
    t.is(await rawControl(daemon!, { key, body }), 200);
    for (const { reason, message, statuses } of cases) {
      const before = (await rejected())[reason]!;
      const status = await rawControl(daemon!, message);
      t.true(statuses.includes(status), `${reason}: ${status}`);
      t.true((await rejected())[reason]! > before, reason);
      await until(
        `log of ${reason}`,
        () =>
          daemon!.log.join("").includes(
            `event=control-rejected reason=${reason}`,
          ),
      );
    }
    const order = { method: "POST", path: "/front/order", count: 10 };
    const results = await (await startRequests(daemon!, order))();
    t.deepEqual(results.filter(({ result }) => result !== "good"), []);
    for (const { log, name } of daemonsOf(fleet)) {
      const text = log.join("");
      const secrets = [key, "fleet-secret", fleet.keys.privateKey];
      t.false(secrets.some((secret) => text.includes(secret)), name);
      // Execution tokens end in a MAC of 22 characters.
      t.notRegex(text, /_[0-9a-f]{16}_[0-9a-f]{16}_\d+_[\w-]{22}/, name);
    }
  });
});
