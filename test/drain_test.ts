import { execFile } from "node:child_process";
import { connect } from "node:net";
import process from "node:process";
import { promisify } from "node:util";
import test from "ava";
import type { Fleet } from "../fleet/fleet.ts";
import { endMember } from "../fleet/end_member.ts";
import { getJson } from "../fleet/get_json.ts";
import type { Member } from "../fleet/member.ts";
import { Ports } from "../fleet/ports.ts";
import { callDaemon } from "./call_daemon.ts";
import { waitForExit } from "./wait_for_exit.ts";
import { findMember } from "./find_member.ts";
import { readSlowly } from "./read_slowly.ts";
import { smallDeployment } from "./small_deployment.ts";
import { startRequests } from "./start_requests.ts";
import { until } from "./until.ts";
import { withFleet } from "./with_fleet.ts";

/** Number of requests that `startWork` sends. */
const WORK = 42;

const east = (service: string) => ({ service, dataCentre: "east" });

/** Starts requests of every kind through the daemons of the east data centre. */
async function startWork(fleet: Fleet): Promise<() => Promise<string[]>> {
  const front = findMember(fleet, "daemon", east("front"));
  const back = findMember(fleet, "daemon", east("back"));
  const kinds = [
    { method: "GET", path: "/front/nested", count: 10 },
    { method: "POST", path: "/front/hold", count: 10 },
  ];
  const started = await Promise.all(
    [front, back].flatMap((ingress) =>
      kinds.map((kind) => startRequests(ingress, kind))
    ),
  );
  const slow = await Promise.all(
    [front, back].map(({ host }) =>
      readSlowly(`http://${host}:${Ports.ingress}/front/large`)
    ),
  );
  return async () => {
    const results = (await Promise.all(started.map((end) => end()))).flat()
      .map(({ result, reason }) => `${result} ${reason}`.trim());
    const read = await Promise.all(slow.map((unread) => unread.finish()));
    const large = read.map(({ status, bytes, complete }) =>
      complete && status === 200 ? "good" : `broken after ${bytes}`
    );
    return [...results, ...large];
  };
}

function broken(results: string[]): string[] {
  return results.filter((result) => result !== "good");
}

/** Waits until all requests run, since a draining daemon rejects those that arrive later. */
function allStarted(fleet: Fleet): Promise<boolean> {
  const servers = fleet.members.filter(({ kind, service }) =>
    kind === "server" && service === "front"
  );
  return until("all requests at a server", async () => {
    const runs = await Promise.all(
      servers.map(({ host }) =>
        getJson<{ started: number }>(`http://${host}:${Ports.server}/-/runs`)
      ),
    );
    return runs.reduce((sum, { started }) => sum + started, 0) === WORK;
  });
}

async function inFlight(daemon: Member): Promise<number> {
  return (await callDaemon<{ inFlight: number }>(daemon, "status")).inFlight;
}

test.serial("planned stop of a daemon fails no request", async (t) => {
  await withFleet({ deployment: smallDeployment, base: 101 }, async (fleet) => {
    const daemon = findMember(fleet, "daemon", east("front"));
    const finish = await startWork(fleet);
    // An idle connection must not delay the stop.
    const idle = connect(Ports.ingress, daemon.host).on("error", () => {});
    await allStarted(fleet);
    t.true(await inFlight(daemon) > 0);
    daemon.process.kill("SIGTERM");
    await until(
      "rejections",
      async () => (await callDaemon(daemon, "status")).phase !== "serving",
    );
    const results = await finish();
    t.is(results.length, WORK);
    t.deepEqual(broken(results), []);
    t.is(await waitForExit(daemon), 0);
    idle.destroy();
  });
});

test.serial("drain finishes while callers keep sending", async (t) => {
  await withFleet({ deployment: smallDeployment, base: 102 }, async (fleet) => {
    const daemon = findMember(fleet, "daemon", east("front"));
    let ended = false;
    const results: string[] = [];
    const callers = Array.from({ length: 4 }, async () => {
      while (!ended) {
        const kind = { method: "GET", path: "/front/nested", count: 4 };
        const all = await (await startRequests(daemon, kind))();
        if (!ended) results.push(...all.map(({ reason }) => reason));
      }
    });
    await until("load", () => results.length > 16);
    const run = promisify(execFile);
    const at = `${daemon.host}:${Ports.local}`;
    const args = ["dist/nutmegmoor.cjs", "drain", "--daemon", at];
    await run(process.execPath, args);
    t.is(await waitForExit(daemon), 0);
    ended = true;
    await Promise.all(callers);
    // A refused connection carried no request; all other requests must succeed.
    t.deepEqual(
      results.filter((reason) => reason !== "" && reason !== "Error"),
      [],
    );
  });
});

test.serial("planned stop of a backend server fails no request", async (t) => {
  await withFleet({ deployment: smallDeployment, base: 103 }, async (fleet) => {
    const daemon = findMember(fleet, "daemon", east("front"));
    const server = findMember(fleet, "server", east("front"));
    const finish = await startWork(fleet);
    await allStarted(fleet);
    t.true(await inFlight(daemon) > 0);
    const runs = `http://${server.host}:${Ports.server}/-/runs`;
    const leave = `http://${server.host}:${Ports.server}/-/leave`;
    await getJson(leave, {});
    const results = finish();
    await until("idle server", async () => {
      const { inUse } = await getJson<{ inUse: number }>(runs);
      return inUse === 0 && await inFlight(daemon) === 0;
    });
    await endMember(server, "SIGTERM");
    t.is(server.process.exitCode, 0);
    t.deepEqual(broken(await results), []);
  });
});

test.serial("kill without drain fails requests", async (t) => {
  await withFleet({ deployment: smallDeployment, base: 104 }, async (fleet) => {
    const daemon = findMember(fleet, "daemon", east("front"));
    const finish = await startWork(fleet);
    await allStarted(fleet);
    t.true(await inFlight(daemon) > 0);
    await endMember(daemon, "SIGKILL");
    const results = broken(await finish());
    t.log(`${results.length} of ${WORK} broken: ${[...new Set(results)]}`);
    t.true(results.length > 0);
  });
});
