import test from "ava";
import { once } from "node:events";
import { sendTo } from "../platform/standin/send_to.ts";
import type { Site } from "../platform/standin/site.ts";
import { smallSite } from "./small_site.ts";
import { until } from "./until.ts";
import { withSite as startWithSite } from "./with_site.ts";

// Second octet of the loopback addresses; each test's site uses a different one.
let net = 40;

const { serves, isComplete, runsOf } = smallSite;
const withSite = (run: (site: Site) => Promise<void>) =>
  smallSite.run(net++, run);

// With slots for all requests at once: what would wait past the route's aim on
// a busy machine is refused, as it should be.
const WIDE_VMS = ["a", "b"].flatMap((zone) =>
  ["front", "deep"].map((service) => ({ zone, service, slots: 64 }))
);

test("every VM serves both services, nested calls included", async (t) => {
  await startWithSite({ net: net++, vms: WIDE_VMS }, async ({ vms }) => {
    for (const { ip } of vms) {
      const answers = await Promise.all(
        Array.from(
          { length: 20 },
          () =>
            sendTo(ip, "front.example", "/safe/?call=deep.example/safe/", {
              method: "POST",
              body: "x".repeat(2_000),
            }),
        ),
      );
      t.true(answers.every((answer) => isComplete(answer, "front")));
      t.true(answers.every(({ body }) => body.endsWith("x".repeat(2_000))));
    }
    const deep = vms.find(({ app }) => app.service === "deep")!;
    t.is(deep.app.lastHeaders["caller-service"], "front");
  });
});

test("a client can't set the caller's service or the target instance", async (t) => {
  await withSite(async ({ vms }) => {
    const answer = await sendTo(vms[0]!.ip, "front.example", "/safe/", {
      headers: { "Caller-Service": "deep", "Target-Instance": "i-none" },
    });
    t.is(answer.status, 200);
    const seen = vms.map(({ app }) => app.lastHeaders["caller-service"]);
    t.false(seen.includes("deep, front"));
    t.true(vms[0]!.app.lastHeaders["caller-service"] === "front");
  });
});

test("a request without a route gets 404", async (t) => {
  await withSite(async ({ vms }) => {
    const ip = vms[0]!.ip;
    t.is((await sendTo(ip, "front.example", "/none/")).status, 404);
    t.is((await sendTo(ip, "other.example", "/safe/")).status, 404);
  });
});

test("malformed responses of a server never reach a client", async (t) => {
  await withSite(async (site) => {
    const ip = site.vms[0]!.ip;
    for (const fault of ["extra", "cut", "unframed", "lost"] as const) {
      site.vms[0]!.app.fault = fault;
      for (let i = 0; i < 10; i++) {
        const answer = await sendTo(ip, "front.example", "/safe/");
        t.true(isComplete(answer, "front") || answer.status >= 500, fault);
      }
    }
  });
});

test("a non-idempotent request never runs twice", async (t) => {
  await withSite(async (site) => {
    const ip = site.vms[0]!.ip;
    for (const fault of ["lost", "cut", "extra", "shedding"] as const) {
      for (const { app } of site.vms) app.fault = fault;
      const answers = await Promise.all(
        Array.from(
          { length: 10 },
          () =>
            sendTo(ip, "front.example", "/once/", {
              method: "POST",
              body: "a",
            }),
        ),
      );
      for (const { id, status } of answers) {
        t.true(runsOf(site, id) <= 1, fault);
        if (status === 503) t.is(runsOf(site, id), 0, fault);
      }
    }
  });
});

test("a newer configuration is applied, an older one is not", async (t) => {
  await withSite(async (site) => {
    const ip = site.vms[0]!.ip;
    site.configure(9, { listeners: [] });
    await until(
      "takes force",
      async () => (await sendTo(ip, "front.example", "/safe/")).status === 404,
    );
    site.configure(8);
    await new Promise((resolve) => setTimeout(resolve, 1_000));
    t.is((await sendTo(ip, "front.example", "/safe/")).status, 404);
  });
});

test("a draining server gets no new work once that is acknowledged", async (t) => {
  await withSite(async (site) => {
    const [vm] = site.vms;
    t.is(await vm!.app.sendHeartbeat("draining"), 200);
    const before = vm!.app.runs.size;
    const answers = await Promise.all(
      site.vms.map(({ ip }) => sendTo(ip, "front.example", "/safe/")),
    );
    t.true(answers.every((answer) => isComplete(answer, "front")));
    t.is(vm!.app.runs.size, before);
  });
});

test("a departure survives a crash of the daemon that acknowledged it", async (t) => {
  await withSite(async (site) => {
    const vm = site.vms[0]!;
    t.is(await vm.app.deregister(), 200);
    vm.daemon.kill("SIGKILL");
    await once(vm.daemon, "exit");
    vm.restart();
    await until("serves", () => serves(vm));
    const before = vm.app.runs.size;
    await new Promise((resolve) => setTimeout(resolve, 700));
    t.true(isComplete(await sendTo(vm.ip, "front.example", "/safe/"), "front"));
    t.is(vm.app.runs.size, before);
  });
});

test("a departure that the store has not saved survives a crash", async (t) => {
  await withSite(async (site) => {
    const vm = site.vms[0]!;
    site.store.fault = "busy";
    vm.app.departed = true;
    t.is(await vm.app.deregister(), 200);
    vm.daemon.kill("SIGKILL");
    await once(vm.daemon, "exit");
    vm.restart();
    await until("serves", () => serves(vm));
    const before = vm.app.runs.size;
    // A heartbeat that was sent before the deregistration arrives late.
    await vm.app.sendHeartbeat();
    await new Promise((resolve) => setTimeout(resolve, 700));
    for (const { ip } of site.vms) {
      t.true(isComplete(await sendTo(ip, "front.example", "/safe/"), "front"));
    }
    t.is(vm.app.runs.size, before);
  });
});

test("a daemon that the store rejects learns of changes from its peers", async (t) => {
  await withSite(async (site) => {
    const [cut, ...others] = site.vms;
    site.store.rejectedAddresses.add(cut!.ip);
    await until(
      "store-lost",
      () => cut!.lines.some((text) => text.includes("event=store-lost")),
    );
    site.configure(5, { listeners: [] });
    for (const { ip } of [cut!, ...others]) {
      await until(
        "takes force",
        async () =>
          (await sendTo(ip, "front.example", "/safe/")).status === 404,
      );
    }
    t.pass();
  });
});

test("known configuration stays in effect while the store is unavailable", async (t) => {
  await withSite(async (site) => {
    for (const fault of ["busy", "silent"] as const) {
      site.store.fault = fault;
      const answers = await Promise.all(
        site.vms.map(({ ip }) => sendTo(ip, "deep.example", "/safe/")),
      );
      t.true(answers.every((answer) => isComplete(answer, "deep")));
    }
    site.store.fault = "none";
    site.configure(5, { listeners: [] });
    await until(
      "takes force",
      async () =>
        (await sendTo(site.vms[0]!.ip, "front.example", "/safe/")).status ===
          404,
    );
  });
});

test("a reload rejects invalid settings and applies valid ones", async (t) => {
  await withSite(async (site) => {
    const vm = site.vms[0]!;
    const line = (event: string) =>
      until(event, () => vm.lines.find((text) => text.includes(event)));
    vm.rewriteSettings((settings) => ({ ...settings, ip: 7 }));
    vm.daemon.kill("SIGHUP");
    t.regex(await line("event=settings-rejected"), /at=ip/);
    t.true(await serves(vm));
    vm.rewriteSettings((settings) => settings);
    vm.daemon.kill("SIGHUP");
    t.regex(await line("event=reloaded"), /changed=true/);
    t.true(await serves(vm));
  });
});

test("daemons recover after the store has compacted its history", async (t) => {
  await withSite(async (site) => {
    site.store.compact();
    site.configure(5, { listeners: [] });
    await until(
      "takes force",
      async () =>
        (await sendTo(site.vms[0]!.ip, "front.example", "/safe/")).status ===
          404,
    );
    t.pass();
  });
});
