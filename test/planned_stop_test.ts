import test from "ava";
import { once } from "node:events";
import { sendTo } from "../platform/standin/send_to.ts";
import type { Site, Vm } from "../platform/standin/site.ts";
import { smallSite } from "./small_site.ts";
import { until } from "./until.ts";
import { withSite } from "./with_site.ts";

// Of the grace period of a daemon, what the platform's stand-in sets.
const GRACE_PERIOD_MS = 6_000;
// Most of the grace period that a stop may leave unused, on a busy machine too.
const UNUSED_MS = GRACE_PERIOD_MS / 6;
// Ends within the grace period only if it begins when the stop does.
const LONG_MS = 4_500;
// Between the end of a process and the start of the next.
const RESTART_MS = 300;
// Second octet of the loopback addresses; each test's site uses a different one.
let net = 185;

const { isComplete, runsOf } = smallSite;
const pause = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

/** Two routes to one service, of which one will run long, and one to another. */
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

async function ended({ daemon }: Vm): Promise<void> {
  if (daemon.exitCode === null) await once(daemon, "exit");
}

/** The daemons learn how long a request takes. */
async function learn(site: Site): Promise<void> {
  for (const { app } of site.vms) app.workMs = LONG_MS;
  await Promise.all(site.vms.map(({ ip }) => long(ip)));
}

const long = (ip: string) =>
  sendTo(ip, "front.example", "/long/", { method: "POST", deadlineMs: 9_000 });
const quick = (ip: string) =>
  sendTo(ip, "front.example", "/quick/", { deadlineMs: 60_000 });

// A stopping daemon took requests that outlast it, and cut them.
test("a stopping daemon takes no request that outlasts it", async (t) => {
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
    await ended(vm);
  });
});

// The server of a stopping daemon was given requests of others that outlast it.
test("a stopping daemon's server takes no request that outlasts it", async (t) => {
  await withLongRoute("unsafe", async (site) => {
    // Of the same data centre, so that its requests go there first.
    const [stopped, neighbour] = site.vms;
    await learn(site);
    stopped!.daemon.kill("SIGTERM");
    await pause(1_500);
    const asked = Array.from({ length: 4 }, () => long(neighbour!.ip));
    for (const answer of await Promise.all(asked)) {
      t.true(isComplete(answer, "front"), `${answer.status}`);
    }
    await ended(stopped!);
  });
});

// A server wasn't told that its time ends with the daemon's.
test("a stopping daemon tells servers what time is left", async (t) => {
  await withLongRoute("safe", async (site) => {
    const vm = site.vms[0]!;
    for (const { app } of site.vms) app.workMs = 5;
    vm.daemon.kill("SIGTERM");
    const stoppedAt = performance.now();
    await pause(400);
    const answer = await quick(vm.ip);
    t.true(isComplete(answer, "front"));
    const { app } = site.vms.find(({ app }) => app.runs.has(answer.id))!;
    const toldMs = Number(app.lastHeaders["request-deadline"]);
    const leftMs = GRACE_PERIOD_MS - (performance.now() - stoppedAt);
    t.true(toldMs < leftMs, `${toldMs} of ${leftMs}`);
    t.true(toldMs > leftMs - UNUSED_MS, `${toldMs} of ${leftMs}`);
    await ended(vm);
  });
});

// A call that a server makes late in a stop was cut with its daemon.
test("a stopping daemon tells the servers of nested calls", async (t) => {
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
    const toldMs = Number(app.lastHeaders["request-deadline"]);
    const startedMs = app.startedAt.get(`${id}-n`)! - stoppedAt;
    t.true(toldMs < GRACE_PERIOD_MS - startedMs, `${toldMs} at ${startedMs}`);
    await ended(vm);
  });
});

// Each daemon of a service took its server out of use at its own time, also
// where the others were still away.
test("stops that overlap leave a service without a server", async (t) => {
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
      await ended(vm);
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

// Three servers that left used up the tries of a request that a fourth could
// run.
test("servers that leave hide one that stays", async (t) => {
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

// The end of a stopping daemon became the end of other daemons' requests.
test("a run that ends with its daemon is the client's last", async (t) => {
  await withLongRoute("safe", async (site) => {
    const [stopped, neighbour] = site.vms;
    // What is saved up lets the neighbour send a request once more.
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

test("a second signal prolongs what servers are told", async (t) => {
  await withLongRoute("safe", async (site) => {
    const vm = site.vms[0]!;
    vm.daemon.kill("SIGTERM");
    const stoppedAt = performance.now();
    await pause(1_000);
    vm.daemon.kill("SIGTERM");
    await pause(100);
    const { id } = await quick(vm.ip);
    const { app } = site.vms.find(({ app }) => app.runs.has(id))!;
    const toldMs = Number(app.lastHeaders["request-deadline"]);
    const startedMs = app.startedAt.get(id)! - stoppedAt;
    t.true(toldMs < GRACE_PERIOD_MS - startedMs, `${toldMs} at ${startedMs}`);
    await ended(vm);
  });
});
