import test from "ava";
import { once } from "node:events";
import { sendTo } from "../platform/standin/send_to.ts";
import type { Site, Vm } from "../platform/standin/site.ts";
import { scrape } from "./scrape.ts";
import { smallSite } from "./small_site.ts";
import { until } from "./until.ts";

// Time within which a configuration must be in force.
const IN_FORCE_S = 2;
// Second octet of the loopback addresses; each test's site uses a different one.
let net = 200;

const withSite = (run: (site: Site) => Promise<void>) =>
  smallSite.run(net++, run);
const valueOf = async (vm: Vm, series: string) =>
  (await scrape(vm)).value(series);
/** Polls the metrics of a daemon until a condition holds for them. */
async function scrapeUntil(
  vm: Vm,
  what: string,
  condition: (value: (series: string) => number) => boolean,
): Promise<Awaited<ReturnType<typeof scrape>>> {
  return await until(what, async () => {
    const scraped = await scrape(vm);
    return condition(scraped.value) ? scraped : null;
  });
}
const unserved = (outcome: string, reason: string, service = "front") =>
  `requests_unserved_total{outcome="${outcome}",reason="${reason}",service="${service}"}`;
const slowRoutes = (timeoutS: number) => {
  const rule = (prefix: string, kind: string) => ({
    name: `slow${prefix}`,
    kind,
    targetLatencyS: 1,
    priority: 1,
    match: { prefix },
    action: { service: "front", timeoutS, maxAttempts: 2 },
  });
  const rules = [rule("/safe/", "safe"), rule("/once/", "unsafe")];
  return { listeners: [{ host: "slow.example", rules }] };
};

test("metrics show the state of a daemon", async (t) => {
  await withSite(async ({ vms }) => {
    const vm = vms[0]!;
    // Calls and heartbeats can be late while a site is starting.
    const before = await scrapeUntil(
      vm,
      "all is in use",
      (value) =>
        value('peers{state="connected"}') === 3 &&
        value('server_state{state="available"}') === 1 &&
        value('service_servers{service="front"}') === 2 &&
        value('service_servers{service="deep"}') === 2 &&
        value("store_reachable") === 1 &&
        value("configuration_confirmed_age_seconds") < IN_FORCE_S,
    );
    t.is(before.value('peers{state="disconnected"}'), 0);
    t.is(before.value('peers{state="suspect"}'), 0);
    t.is(before.value('server_state{state="leaving"}'), 0);
    t.is(before.value("configuration_version"), 1);
    t.true(before.value("configuration_age_seconds") > 0);
    t.true(before.value('store_calls_total{operation="put"}') >= 1);
    vm.app.workMs = 800;
    const asked = Array.from(
      { length: 3 },
      () => sendTo(vm.ip, "front.example", "/once/"),
    );
    const during = await scrapeUntil(
      vm,
      "all run",
      (value) => value("server_requests_running") === 3,
    );
    await Promise.all(asked);
    const after = await scrape(vm);

    const answered =
      'server_calls_total{code="2xx",outcome="answered",reason=""}';
    t.is(after.value(answered), before.value(answered) + 3);
    const open = (scraped: typeof during) =>
      scraped.value('requests_in_flight{from="client"}') +
      scraped.value('requests_in_flight{from="server"}');
    t.deepEqual([before, during, after].map(open), [0, 3, 0]);
    t.true(during.value("request_oldest_age_seconds") > 0);
    t.is(after.value("request_oldest_age_seconds"), 0);
    t.true(during.value("client_connections") >= 3);
    // The daemon uses 7 of the 8 slots.
    t.is(during.value("server_requests_limit"), 7);
    t.is(during.value("server_load_ratio"), 0.43);
    t.is(during.value("server_requests_waiting"), 0);
    t.is(during.value("server_slots"), 8);
    t.true(during.value("server_heard_age_seconds") >= 0);
    t.is(during.value("ready"), 1);
    t.is(during.value("stopping"), 0);
    t.is(during.value("stop_elapsed_seconds"), 0);
    t.true(during.value('retry_budget{service="front"}') > 0);
    t.true(during.value("process_resident_memory_bytes") > 0);
    t.true(during.value("event_loop_delay_seconds_count") > 0);
  });
});

test("metric labels contain no request, route or server", async (t) => {
  await withSite(async ({ vms }) => {
    const vm = vms[0]!;
    for (let i = 0; i < 5; i++) {
      await sendTo(vm.ip, "deep.example", "/safe/", { id: `id-${i}` });
      await sendTo(vm.ip, "unknown.example", "/safe/", { id: `id-${i}` });
    }
    const { text } = await scrape(vm);
    const labels = text.match(/\{.*\}/g)!.join("\n");
    t.notRegex(labels, /id-\d|safe|once|i-vm|unknown\.example|127\./);
    t.regex(text, /requests_unserved_total\{outcome="no-route".*\} 5\n/);
    for (const line of text.trimEnd().split("\n")) {
      t.regex(line, /^(# (HELP|TYPE) \w+ .+|\w+(\{.*\})? [-+.\deInfNa]+)$/);
    }
    const types = text.match(/^# TYPE \w+/gm)!;
    t.is(new Set(types).size, types.length);
  });
});

test("metrics show a planned stop and the requests that it waits for", async (t) => {
  await withSite(async (site) => {
    const [vm, , neighbour] = site.vms;
    site.configure(2, slowRoutes(20));
    const slow = () =>
      sendTo(vm!.ip, "slow.example", "/safe/", { deadlineMs: 9_000 });
    await until("in force", async () => (await slow()).status === 200);
    // The daemons learn from the traffic that clients send these requests.
    for (let i = 0; i < 20; i++) {
      for (const { ip } of site.vms) await sendTo(ip, "slow.example", "/safe/");
    }
    for (const { app } of site.vms) app.workMs = 4_500;
    const held = slow();
    await until(
      "runs",
      async () => await valueOf(vm!, "server_requests_running") === 1,
    );
    vm!.daemon.kill("SIGTERM");
    const exit = once(vm!.daemon, "exit");
    const early = await scrapeUntil(
      vm!,
      "stops",
      (value) => value("stopping") === 1,
    );
    t.is(early.value("ready"), 0);
    const late = await until("turns clients away", async () => {
      await sendTo(vm!.ip, "slow.example", "/safe/", { deadlineMs: 200 });
      const scraped = await scrape(vm!);
      return scraped.value(unserved("refusal", "leaving")) > 0 ? scraped : null;
    });
    t.true(
      late.value("stop_elapsed_seconds") > early.value("stop_elapsed_seconds"),
    );
    t.true(late.value("server_requests_running") >= 1);
    t.true(late.value('requests_in_flight{from="client"}') >= 1);
    t.true(
      late.value("request_oldest_age_seconds") >
        late.value("stop_elapsed_seconds"),
    );
    await scrapeUntil(
      neighbour!,
      "its server is out of use",
      (value) => value('service_servers{service="front"}') === 1,
    );
    t.is((await held).status, 200);
    await exit;
  });
});

test("metrics show a store failure", async (t) => {
  await withSite(async ({ store, vms }) => {
    const vm = vms[0]!;
    const failures = 'store_call_failures_total{operation="changes"}';
    const before = await valueOf(vm, failures);
    store.fault = "busy";
    const lost = await scrapeUntil(
      vm,
      "unconfirmed",
      (value) => value("configuration_confirmed_age_seconds") > IN_FORCE_S,
    );
    t.is(lost.value("store_reachable"), 0);
    t.true(lost.value(failures) > before);
    t.is(lost.value("configuration_version"), 1);
    t.is(lost.value("ready"), 1);
    store.fault = "none";
    const back = await scrapeUntil(
      vm,
      "confirmed",
      (value) =>
        value("store_reachable") === 1 &&
        value("configuration_confirmed_age_seconds") < IN_FORCE_S,
    );
    t.true(back.value(failures) >= lost.value(failures));
  });
});

test("metrics show a configuration that can't be read", async (t) => {
  await withSite(async (site) => {
    const vm = site.vms[0]!;
    t.is(await valueOf(vm, "configurations_unreadable_total"), 0);
    site.configure(2, { limits: {} });
    await until(
      "unreadable",
      async () => await valueOf(vm, "configurations_unreadable_total") > 0,
    );
    t.is(await valueOf(vm, "configuration_version"), 1);
  });
});

test("metrics show a killed peer", async (t) => {
  await withSite(async ({ vms }) => {
    const [vm, killed] = vms;
    const lost = async () => {
      const { text } = await scrape(vm!);
      return [...text.matchAll(/peer_links_lost_total\{.*\} (\d+)/g)]
        .reduce((sum, [, count]) => sum + Number(count), 0);
    };
    const before = await lost();
    for (const { app } of vms) app.workMs = 1_000;
    const asked = [1, 2, 3].map(() =>
      sendTo(vm!.ip, "deep.example", "/once/", { method: "POST" })
    );
    await scrapeUntil(
      vm!,
      "under way",
      (value) => value("peer_calls_in_flight") === 3,
    );
    killed!.daemon.kill("SIGKILL");
    const during = await scrapeUntil(
      vm!,
      "disconnected",
      (value) => value('peers{state="disconnected"}') === 1,
    );
    t.is(during.value('peers{state="connected"}'), 2);
    t.is(during.value('service_servers{service="deep"}'), 1);
    t.is(await lost(), before + 1);
    const statuses = (await Promise.all(asked)).map(({ status }) => status);
    t.deepEqual(statuses, [502, 502, 502]);
    t.is(during.value("peer_calls_lost_total"), 3);
    t.is(during.value(unserved("failure", "link-lost", "deep")), 3);
    killed!.restart();
    await until(
      "connected",
      async () => await valueOf(vm!, 'peers{state="connected"}') === 3,
    );
  });
});

test("metrics show an unresponsive peer", async (t) => {
  await withSite(async ({ vms }) => {
    const [vm, paused] = vms;
    paused!.daemon.kill("SIGSTOP");
    await until(
      "suspect",
      async () => await valueOf(vm!, 'peers{state="suspect"}') === 1,
    );
    const gone = await scrapeUntil(
      vm!,
      "disconnected",
      (value) => value('peers{state="disconnected"}') === 1,
    );
    t.true(gone.value('peer_links_lost_total{reason="given-up"}') >= 1);
    paused!.daemon.kill("SIGCONT");
  });
});

test("metrics show the outcomes of calls to a server", async (t) => {
  await withSite(async ({ vms }) => {
    const [vm, deep] = vms;
    const calls = (outcome: string, reason: string) =>
      valueOf(
        deep!,
        `server_calls_total{code="",outcome="${outcome}",reason="${reason}"}`,
      );
    t.is(await calls("unknown", "connection-lost"), 0);
    deep!.app.fault = "lost";
    const lost = await sendTo(vm!.ip, "deep.example", "/once/", {
      method: "POST",
    });
    t.is(lost.status, 502);
    t.is(await calls("unknown", "connection-lost"), 1);
    t.is(
      await valueOf(vm!, unserved("failure", "connection-lost", "deep")),
      1,
    );
    t.is(await calls("rejected", "server-rejected"), 0);
    deep!.app.fault = "shedding";
    await sendTo(vm!.ip, "deep.example", "/safe/");
    t.true(await calls("rejected", "server-rejected") > 0);
    const { value } = await scrape(vm!);
    const single = '{kind="single",service="deep"}';
    t.true(value(`retries_total${single}`) > 0);
  });
});

// A call that the daemon aborts ends like one whose connection was lost; if counted
// as such, a slow server would look like a broken one.
test("metrics distinguish a slow server from a broken one", async (t) => {
  await withSite(async (site) => {
    const vm = site.vms[0]!;
    site.configure(2, slowRoutes(0.3));
    const slow = async (path: string) =>
      (await sendTo(vm.ip, "slow.example", path)).status;
    await until("in force", async () => await slow("/safe/") === 200);
    const calls = (reason: string) =>
      `server_calls_total{code="",outcome="unknown",reason="${reason}"}`;
    // Requests may have expired earlier on a busy machine.
    const before = await scrape(vm);
    const since = (value: (series: string) => number, series: string) =>
      value(series) - (before.value(series) || 0);
    const late = 'server_calls_total{code="5xx",outcome="answered",reason=""}';
    for (const { app } of site.vms) app.workMs = 2_000;
    t.is(await slow("/once/"), 504);
    t.is(since((await scrape(vm)).value, late), 1);
    for (const { app } of site.vms) app.fault = "overrunning";
    t.is(await slow("/safe/"), 504);
    t.is(await slow("/once/"), 504);
    // A request that must run at most once may continue until its deadline.
    const after = await scrapeUntil(
      vm,
      "given up",
      (value) =>
        since(value, calls("cancelled")) === 1 &&
        since(value, calls("overdue")) === 1,
    );
    t.is(since(after.value, calls("connection-lost")), 0);
    t.is(since(after.value, unserved("failure", "expired")), 2);
  });
});

test("metrics count the requests that a full server rejects", async (t) => {
  await withSite(async ({ vms }) => {
    const vm = vms[0]!;
    const sum = ({ text }: { text: string }, series: RegExp) =>
      [...text.matchAll(series)]
        .reduce((sum, [, count]) => sum + Number(count), 0);
    const refusals = /requests_unserved_total\{outcome="refusal".*\} (\d+)/g;
    const failures = /requests_unserved_total\{outcome="failure".*\} (\d+)/g;
    const before = await scrape(vm);
    for (const { app } of vms) {
      app.workMs = 400;
      // The server does not respond in time, so every 504 comes from the daemon.
      app.fault = "overrunning";
    }
    const asked = Array.from(
      { length: 200 },
      () => sendTo(vm.ip, "front.example", "/safe/", { deadlineMs: 1_000 }),
    );
    const answers = await Promise.all(asked);
    const answered = (status: number) =>
      answers.filter((answer) => answer.status === status).length;
    const after = await scrape(vm);
    t.true(answered(503) > 0);
    t.is(sum(after, refusals), sum(before, refusals) + answered(503));
    t.is(sum(after, failures), sum(before, failures) + answered(504));
    // Exceeds the rate limit of the log; further lines are counted as dropped.
    const turnedAway = sum(after, /gate_refusals_total\{.*\} (\d+)/g);
    const dropped = after.value(
      'log_lines_dropped_total{event="call-refused"}',
    );
    t.true(dropped > 0);
    await until(
      "logged",
      () =>
        vm.lines.filter((line) => line.includes("event=call-refused"))
              .length + dropped === turnedAway,
    );
  });
});
