import test from "ava";
import { readFileSync } from "node:fs";
import { sendTo } from "../platform/standin/send_to.ts";
import type { Site, Vm } from "../platform/standin/site.ts";
import { smallSite } from "./small_site.ts";
import { until } from "./until.ts";

const MB = 1024 * 1024;
const BYTES_PER_S = 4 * MB;
// Memory of a daemon on the smallest VM.
const MEMORY_MB = 250;
// Target latency of the routes.
const QUICK_MS = 1_000;
const POLL_MS = 20;
const { runsOf, runThroughRelays } = smallSite;
// Second octet of the loopback addresses; each test's site uses a different one.
let net = 130;

/** Runs a site with slow links and routes that allow large responses. */
const withSlowLinks = (run: (site: Site) => Promise<void>) =>
  runThroughRelays(
    { net: net++, bytesPerS: BYTES_PER_S },
    async (site) => {
      site.configure(2, {
        listeners: [{
          host: "deep.example",
          rules: [{
            name: "large",
            kind: "unsafe",
            targetLatencyS: 1,
            priority: 1,
            match: { prefix: "/large/" },
            action: { service: "deep", timeoutS: 30, maxAttempts: 2 },
          }, {
            name: "small",
            kind: "unsafe",
            targetLatencyS: 1,
            priority: 1,
            match: { prefix: "/small/" },
            action: { service: "deep", timeoutS: 10, maxAttempts: 2 },
          }],
        }],
        limits: {
          maxHeaderBytes: 16_384,
          maxBodyBytes: 64 * MB,
          headerTimeoutS: 2,
          idleTimeoutS: 15,
        },
      });
      await until("in force", async () => {
        const asked = site.vms.map(({ ip }) => askSmall(ip));
        return (await Promise.all(asked)).every(({ status }) => status === 200);
      });
      await run(site);
    },
  );
const askLarge = (ip: string, bytes: number) =>
  sendTo(ip, "deep.example", `/large/?bytes=${bytes}`, { deadlineMs: 20_000 });
const askSmall = (ip: string) =>
  sendTo(ip, "deep.example", "/small/", { deadlineMs: 10_000 });

/** Resident memory of a daemon, in MB. */
function memoryOf({ daemon }: Vm): number {
  const status = readFileSync(`/proc/${daemon.pid}/status`, "utf8");
  return Number(/VmRSS:\s+(\d+) kB/.exec(status)![1]) / 1024;
}

// Small responses must not queue behind a large one, nor may its link time out.
test("small calls stay fast during a large response on the same link", async (t) => {
  await withSlowLinks(async ({ vms }) => {
    const { ip } = vms[0]!;
    let ended = false;
    const large = askLarge(ip, 12 * MB).finally(() => ended = true);
    await new Promise((resolve) => setTimeout(resolve, 100));
    let slowestMs = 0;
    let asked = 0;
    while (!ended) {
      const startedAt = performance.now();
      const { status } = await askSmall(ip);
      slowestMs = Math.max(slowestMs, performance.now() - startedAt);
      t.is(status, 200);
      asked++;
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
    const { status, body } = await large;
    t.is(status, 200);
    t.true(body.length > 12 * MB);
    t.true(asked > 10);
    t.true(slowestMs < QUICK_MS, `${slowestMs} ms`);
    t.log(`${asked} small calls, the slowest ${Math.round(slowestMs)} ms`);
  });
});

// The queue of a link must not grow without bound with each response.
test("large responses that queue on a link do not exhaust the memory", async (t) => {
  await withSlowLinks(async (site) => {
    const { vms } = site;
    const { ip } = vms[0]!;
    const most = new Map(vms.map(({ name }) => [name, 0]));
    const sampling = setInterval(() => {
      for (const vm of vms) {
        most.set(vm.name, Math.max(most.get(vm.name)!, memoryOf(vm)));
      }
    }, POLL_MS);
    const asked: ReturnType<typeof sendTo>[] = [];
    for (let i = 0; i < 24; i++) {
      asked.push(askLarge(ip, 12 * MB));
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
    const answers = await Promise.all(asked);
    clearInterval(sampling);
    t.log(answers.map(({ status }) => status).join(" "), ...most.values());
    for (const memory of most.values()) t.true(memory < MEMORY_MB);
    t.true(answers.some(({ status }) => status === 200));
    // A request that ran must not get 503, which says that it has not.
    for (const { id, status } of answers) {
      t.true(status !== 503 || runsOf(site, id) === 0);
    }
    t.is((await askSmall(ip)).status, 200);
  });
});
