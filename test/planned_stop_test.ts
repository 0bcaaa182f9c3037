import test from "ava";
import { once } from "node:events";
import { sendTo } from "../platform/standin/send_to.ts";
import type { Site, Vm } from "../platform/standin/site.ts";
import { smallSite } from "./small_site.ts";
import { until } from "./until.ts";
import { withSite } from "./with_site.ts";

// Grace period of a daemon, as set by the platform's stand-in.
const GRACE_PERIOD_MS = 6_000;
// Maximum part of the grace period that a stop may leave unused, even on a busy machine.
const UNUSED_MS = GRACE_PERIOD_MS / 6;
// Duration of a run that ends within the grace period only if it starts with the stop.
const LONG_MS = 4_500;
// Time between the exit of a process and the start of its successor.
const RESTART_MS = 300;
// Second octet of the loopback addresses; each test's site uses a different one.
let net = 185;

const { isComplete, runsOf } = smallSite;
const pause = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

/** Configures a slow and a fast route to one service and a route to another. */
function configure(site: Site, kind: "safe" | "unsafe"): void {
  const rule = (name: string, service = "front") => ({
    name,
    kind,
    targetLatencyS: 5,
    priority: 1,
    match: { prefix: `/${name}/` },
    action: { service, timeoutS: 20, maxAttempts: 2 },
  });
  site.configure(2, {
    listeners: [
      { host: "front.example", rules: [rule("long"), rule("quick")] },
      { host: "deep.example", rules: [rule("deep", "deep")] },
    ],
  });
}

const withLongRoute = (kind: "safe" | "unsafe", run: (site: Site) => unknown) =>
  smallSite.run(net++, async (site) => {
    configure(site, kind);
    for (const { ip } of site.vms) {
      await until("in force", async () => (await quick(ip)).status === 200);
    }
    await run(site);
  });

async function waitForExit({ daemon }: Vm): Promise<void> {
  if (daemon.exitCode === null) await once(daemon, "exit");
}

/** Sends requests from which the daemons learn how long a run takes. */
async function learn(site: Site): Promise<void> {
  for (const { app } of site.vms) app.workMs = LONG_MS;
  await Promise.all(site.vms.map(({ ip }) => long(ip)));
}

const long = (ip: string) =>
  sendTo(ip, "front.example", "/long/", { method: "POST", deadlineMs: 9_000 });
const quick = (ip: string) =>
  sendTo(ip, "front.example", "/quick/", { deadlineMs: 60_000 });

// A stopping daemon must not accept requests that it would have to abort.
test("a stopping daemon rejects requests that outlast it", async (t) => {
  await withLongRoute("unsafe", async (site) => {
    const vm = site.vms[0]!;
    await learn(site);
    vm.daemon.kill("SIGTERM");
    await pause(2_200);
    const answers = await Promise.all([long(vm.ip), long(vm.ip), long(vm.ip)]);
    for (const { id, status } of answers) {
      t.is(status, 503);
      t.is(runsOf(site, id), 0);
    }
    await waitForExit(vm);
  });
});

// Other daemons must not send requests to the server of a stopping daemon that
// outlast the daemon.
test("the server of a stopping daemon gets no request that outlasts it", async (t) => {
  await withLongRoute("unsafe", async (site) => {
    // In the same data centre, so that its requests go to this server first.
    const [stopped, neighbour] = site.vms;
    await learn(site);
    stopped!.daemon.kill("SIGTERM");
    await pause(1_500);
    const asked = Array.from({ length: 4 }, () => long(neighbour!.ip));
    for (const answer of await Promise.all(asked)) {
      t.true(isComplete(answer, "front"), `${answer.status}`);
    }
    await waitForExit(stopped!);
  });
});

// The deadline that a server gets must not exceed the daemon's remaining grace period.
test("a stopping daemon limits the deadline of its server's requests", async (t) => {
  await withLongRoute("safe", async (site) => {
    const vm = site.vms[0]!;
    for (const { app } of site.vms) app.workMs = 5;
    vm.daemon.kill("SIGTERM");
    const stoppedAt = performance.now();
    await pause(400);
    const answer = await quick(vm.ip);
    t.true(isComplete(answer, "front"));
    const { app } = site.vms.find(({ app }) => app.runs.has(answer.id))!;
    const deadlineMs = Number(app.lastHeaders["request-deadline"]);
    const leftMs = GRACE_PERIOD_MS - (performance.now() - stoppedAt);
    t.true(deadlineMs < leftMs, `${deadlineMs} of ${leftMs}`);
    t.true(deadlineMs > leftMs - UNUSED_MS, `${deadlineMs} of ${leftMs}`);
    await waitForExit(vm);
  });
});

// A nested call that starts during a stop must end before its daemon exits.
test("a stopping daemon limits the deadline of nested calls", async (t) => {
  await withLongRoute("safe", async (site) => {
    const vm = site.vms[0]!;
    for (const { app } of site.vms) app.workMs = 600;
    const outer = sendTo(
      vm.ip,
      "front.example",
      "/quick/?call=deep.example/deep/",
      { deadlineMs: 60_000 },
    );
    await pause(200);
    vm.daemon.kill("SIGTERM");
    const stoppedAt = performance.now();
    const { id, status } = await outer;
    t.is(status, 200);
    const { app } = site.vms.find(({ app }) => app.runs.has(`${id}-n`))!;
    const deadlineMs = Number(app.lastHeaders["request-deadline"]);
    const startedMs = app.startedAt.get(`${id}-n`)! - stoppedAt;
    t.true(
      deadlineMs < GRACE_PERIOD_MS - startedMs,
      `${deadlineMs} at ${startedMs}`,
    );
    await waitForExit(vm);
  });
});

// A daemon must not withdraw its server while the other servers of the service are
// still unavailable.
test("overlapping stops leave a service with a server", async (t) => {
  await smallSite.run(net++, async (site) => {
    const [first, caller, second] = site.vms;
    const asked: ReturnType<typeof sendTo>[] = [];
    const client = setInterval(
      () => asked.push(sendTo(caller!.ip, "front.example", "/safe/")),
      20,
    );
    first!.daemon.kill("SIGTERM");
    await pause(400);
    second!.daemon.kill("SIGTERM");
    await Promise.all([first!, second!].map(async (vm) => {
      await waitForExit(vm);
      await pause(RESTART_MS);
      vm.restart();
    }));
    await until("serve again", () => smallSite.serves(second!));
    clearInterval(client);
    const answers = await Promise.all(asked);
    const failed = answers.filter((answer) => !isComplete(answer, "front"));
    t.deepEqual(failed, []);
  });
});

// Rejections by three leaving servers must not exhaust the attempts of a request
// that a fourth server could run.
test("leaving servers do not hide one that stays", async (t) => {
  const vms = ["front", "front", "front", "front", "deep"].map((service) => ({
    zone: "a",
    service,
  }));
  await withSite({ net: net++, vms }, async (site) => {
    configure(site, "unsafe");
    const caller = site.vms[4]!;
    await until(
      "in force",
      async () => (await quick(caller.ip)).status === 200,
    );
    for (const { app } of site.vms) app.workMs = LONG_MS;
    await Promise.all(Array.from({ length: 20 }, () => long(caller.ip)));
    for (const vm of site.vms.slice(0, 3)) vm.daemon.kill("SIGTERM");
    await pause(800);
    const asked = Array.from({ length: 6 }, () => long(caller.ip));
    for (const answer of await Promise.all(asked)) {
      t.true(isComplete(answer, "front"), `${answer.status}`);
    }
  });
});

// When a stopping daemon aborts a repeatable request of another daemon, that daemon
// must retry it.
test("a run that ends with its daemon is retried elsewhere", async (t) => {
  await withLongRoute("safe", async (site) => {
    const [stopped, neighbour] = site.vms;
    // Fills the retry budget, which allows the neighbour to retry a request.
    for (let batch = 0; batch < 20; batch++) {
      const asked = Array.from({ length: 10 }, () => quick(neighbour!.ip));
      await Promise.all(asked);
    }
    stopped!.app.workMs = 2 * GRACE_PERIOD_MS;
    stopped!.daemon.kill("SIGTERM");
    await pause(300);
    const answer = await quick(neighbour!.ip);
    t.is(stopped!.app.runs.get(answer.id), 1);
    t.true(isComplete(answer, "front"), `${answer.status}`);
  });
});

test("a second signal does not extend the deadline of servers", async (t) => {
  await withLongRoute("safe", async (site) => {
    const vm = site.vms[0]!;
    vm.daemon.kill("SIGTERM");
    const stoppedAt = performance.now();
    await pause(1_000);
    vm.daemon.kill("SIGTERM");
    await pause(100);
    const { id } = await quick(vm.ip);
    const { app } = site.vms.find(({ app }) => app.runs.has(id))!;
    const deadlineMs = Number(app.lastHeaders["request-deadline"]);
    const startedMs = app.startedAt.get(id)! - stoppedAt;
    t.true(
      deadlineMs < GRACE_PERIOD_MS - startedMs,
      `${deadlineMs} at ${startedMs}`,
    );
    await waitForExit(vm);
  });
});
