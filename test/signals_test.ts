import test from "ava";
import { type ChildProcess, spawn, spawnSync } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { sendTo } from "../platform/standin/send_to.ts";
import type { Site } from "../platform/standin/site.ts";
import { smallSite } from "./small_site.ts";
import { until } from "./until.ts";

// Tolerance for delays of the test process on a busy machine.
const SLACK_MS = 500;
// Second octet of the loopback addresses; each test's site uses a different one.
let net = 70;

const { serves, isComplete, runsOf } = smallSite;
const withSite = (run: (site: Site) => Promise<void>) =>
  smallSite.run(net++, run);

test("a daemon restarted without the store gets its configuration from peers", async (t) => {
  await withSite(async (site) => {
    const vm = site.vms[0]!;
    site.store.fault = "busy";
    vm.daemon.kill("SIGKILL");
    await once(vm.daemon, "exit");
    vm.restart();
    await until("serves", () => serves(vm));
    t.true(isComplete(await sendTo(vm.ip, "deep.example", "/safe/"), "deep"));
  });
});

test("a planned stop of a daemon aborts no request", async (t) => {
  await withSite(async (site) => {
    const vm = site.vms[0]!;
    for (const { app } of site.vms) app.workMs = 300;
    const asked = site.vms.flatMap(({ ip }) =>
      Array.from({ length: 5 }, () => sendTo(ip, "front.example", "/once/"))
    );
    await new Promise((resolve) => setTimeout(resolve, 100));
    vm.daemon.kill("SIGTERM");
    const answers = await Promise.all(asked);
    t.true(answers.every((answer) => isComplete(answer, "front")));
    await new Promise((resolve) => setTimeout(resolve, 700));
    const later = await Promise.all(
      site.vms.slice(1).map(({ ip }) => sendTo(ip, "front.example", "/safe/")),
    );
    t.true(later.every((answer) => isComplete(answer, "front")));
    await once(vm.daemon, "exit");
    t.is(vm.daemon.exitCode, 0);
  });
});

test("other daemons use the server of a daemon that begins a planned stop", async (t) => {
  await withSite(async (site) => {
    const [stopped, neighbour] = site.vms;
    stopped!.daemon.kill("SIGTERM");
    await new Promise((resolve) => setTimeout(resolve, 700));
    const before = stopped!.app.runs.size;
    const asked = Array.from(
      { length: 10 },
      () => sendTo(neighbour!.ip, "front.example", "/safe/"),
    );
    const answers = await Promise.all(asked);
    t.true(answers.every((answer) => isComplete(answer, "front")));
    t.true(stopped!.app.runs.size > before);
    await once(stopped!.daemon, "exit");
    t.is(stopped!.daemon.exitCode, 0);
  });
});

test("clients that keep sending do not delay a planned stop", async (t) => {
  await withSite(async (site) => {
    const vm = site.vms[0]!;
    // The daemons learn from the traffic that clients send these requests.
    for (const { ip } of site.vms) {
      for (let i = 0; i < 20; i++) await sendTo(ip, "front.example", "/once/");
    }
    for (const { app } of site.vms) app.workMs = 400;
    const stoppedAt = performance.now();
    vm.daemon.kill("SIGTERM");
    const asked: ReturnType<typeof sendTo>[] = [];
    while (vm.daemon.exitCode === null) {
      asked.push(sendTo(vm.ip, "front.example", "/once/", { method: "POST" }));
      await new Promise((resolve) => setTimeout(resolve, 25));
    }
    // The grace period is 6 s, and requests take less than 0.5 s.
    t.true(performance.now() - stoppedAt < 5_000);
    for (const { id, status } of await Promise.all(asked)) {
      t.not(status, 502);
      if (status === 503) t.is(runsOf(site, id), 0);
      // No request arrived on a connection that was refused or closed unread.
      if (status === 0) t.is(runsOf(site, id), 0);
    }
  });
});

test("a request that a planned stop can't finish gets 502", async (t) => {
  await withSite(async (site) => {
    const vm = site.vms[0]!;
    const rule = {
      name: "slow",
      kind: "safe",
      targetLatencyS: 1,
      priority: 1,
      match: { prefix: "/slow/" },
      action: { service: "front", timeoutS: 20, maxAttempts: 2 },
    };
    site.configure(2, { listeners: [{ host: "slow.example", rules: [rule] }] });
    const slow = () =>
      sendTo(vm.ip, "slow.example", "/slow/", { deadlineMs: 9_000 });
    await until("in force", async () => (await slow()).status === 200);
    for (const { app } of site.vms) app.workMs = 8_000;
    const held = slow();
    await new Promise((resolve) => setTimeout(resolve, 200));
    vm.daemon.kill("SIGTERM");
    t.is((await held).status, 502);
    await once(vm.daemon, "exit");
    t.is(vm.daemon.exitCode, 0);
  });
});

test("a repeatable request does not wait for a paused daemon", async (t) => {
  await withSite(async (site) => {
    const [paused, ...others] = site.vms;
    // The daemons learn that the route makes no calls.
    for (const { ip } of site.vms) {
      for (let i = 0; i < 20; i++) await sendTo(ip, "front.example", "/safe/");
    }
    paused!.daemon.kill("SIGSTOP");
    const startedAt = performance.now();
    const during = await Promise.all(
      others.map(({ ip }) => sendTo(ip, "front.example", "/safe/")),
    );
    const tookMs = performance.now() - startedAt;
    t.true(during.every((answer) => isComplete(answer, "front")));
    // The target latency of the routes is 1 s.
    t.true(tookMs < 1_000 + SLACK_MS, `${tookMs} ms`);
    paused!.daemon.kill("SIGCONT");
  });
});

test("a paused daemon is avoided, and used again once it resumes", async (t) => {
  await withSite(async (site) => {
    const [paused, ...others] = site.vms;
    paused!.daemon.kill("SIGSTOP");
    const during = await Promise.all(
      others.flatMap(({ ip }) =>
        Array.from(
          { length: 10 },
          () =>
            sendTo(ip, "front.example", "/once/", {
              method: "POST",
              body: "a",
            }),
        )
      ),
    );
    await until(
      "the link is given up",
      () =>
        others.every(({ lines }) =>
          lines.some((text) =>
            text.includes(`event=peer-lost peer=${paused!.name}`)
          )
        ),
    );
    const after = await Promise.all(
      others.map(({ ip }) => sendTo(ip, "front.example", "/safe/")),
    );
    t.true(after.every((answer) => isComplete(answer, "front")));
    paused!.daemon.kill("SIGCONT");
    await until("serves again", () => serves(paused!));
    for (const { id, status } of during) {
      t.true(runsOf(site, id) <= 1);
      if (status === 503) t.is(runsOf(site, id), 0);
    }
  });
});

test("a killed daemon fails only the requests in flight to it", async (t) => {
  await withSite(async (site) => {
    const [killed, ...others] = site.vms;
    for (const { app } of site.vms) app.workMs = 100;
    const during = others.flatMap(({ ip }) =>
      Array.from(
        { length: 10 },
        () =>
          sendTo(ip, "front.example", "/once/", { method: "POST", body: "a" }),
      )
    );
    await new Promise((resolve) => setTimeout(resolve, 50));
    killed!.daemon.kill("SIGKILL");
    for (const { id, status } of await Promise.all(during)) {
      t.true(runsOf(site, id) <= 1);
      if (status === 503) t.is(runsOf(site, id), 0);
    }
    const after = await Promise.all(
      others.map(({ ip }) => sendTo(ip, "front.example", "/safe/")),
    );
    t.true(after.every((answer) => isComplete(answer, "front")));
    killed!.restart();
    await until("serves again", () => serves(killed!));
  });
});

test("a daemon with invalid settings exits with status 2", (t) => {
  const { status, stderr } = spawnSync(
    process.execPath,
    ["target/sidecar.cjs"],
    {
      env: { ...process.env, NUTMEGMOOR_CONFIG: "package.json" },
      encoding: "utf8",
    },
  );
  t.is(status, 2);
  t.regex(stderr, /settings: nodeName: /);
  t.regex(stderr, /settings: platform: /);
});

test("a reload signal does not end a daemon that is starting", async (t) => {
  const folder = mkdtempSync(join(tmpdir(), "nutmegmoor-"));
  // A named pipe blocks the daemon while it reads its settings.
  const path = join(folder, "settings");
  spawnSync("mkfifo", [path]);
  const daemon = spawn(process.execPath, ["target/sidecar.cjs"], {
    env: { ...process.env, NUTMEGMOOR_CONFIG: path },
    stdio: "ignore",
  });
  const ended = once(daemon, "exit");
  await until("the daemon catches the signal", () => catchesReload(daemon));
  daemon.kill("SIGHUP");
  await new Promise((resolve) => setTimeout(resolve, 200));
  t.is(daemon.signalCode, null);
  daemon.kill("SIGKILL");
  await ended;
  rmSync(folder, { recursive: true });
});

/** Whether a process catches SIGHUP, according to its signal mask in /proc. */
function catchesReload({ pid }: ChildProcess): boolean {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const mask = /^SigCgt:\s*([0-9a-f]+)$/m.exec(status)![1]!;
  return (BigInt(`0x${mask}`) & 1n) === 1n;
}
