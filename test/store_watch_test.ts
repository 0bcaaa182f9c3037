import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import type { Site, Vm } from "../platform/standin/site.ts";
import { until } from "./until.ts";
import { withSite } from "./with_site.ts";

const VMS = Array.from(
  { length: 5 },
  () => ({ zone: "a", service: "front" }),
);
// Time within which a configuration must be in force.
const IN_FORCE_MS = 2_000;
const SETTLE_MS = 1_500;
const IDLE_MS = 3_000;

const feeds = ({ store }: Site) => store.calls.get("/rows-feed") ?? 0;
const inForce = ({ lines }: Vm) =>
  lines.some((text) => text.includes("event=configuration-in-force version=5"));

/** Writes a configuration; returns the time until it is in force on the given VMs, in ms. */
async function change(site: Site, vms: Vm[]): Promise<number> {
  const startedAt = performance.now();
  site.configure(5);
  for (const vm of vms) await until("in force", () => inForce(vm));
  return performance.now() - startedAt;
}

test("at most two daemons of a data centre poll the store", async (t) => {
  await withSite({ net: 61, vms: VMS }, async (site) => {
    await sleep(SETTLE_MS);
    const before = feeds(site);
    await sleep(IDLE_MS);
    // A call waits 1.5 s, so each of two daemons makes two or three calls.
    t.true(feeds(site) - before <= 6, `${feeds(site) - before}`);
    t.true(await change(site, site.vms) < IN_FORCE_MS);
  });
});

test("a change is in force in time although the watching daemons are paused", async (t) => {
  await withSite({ net: 62, vms: VMS }, async (site) => {
    await sleep(SETTLE_MS);
    const [first, second, ...others] = site.vms;
    first!.daemon.kill("SIGSTOP");
    second!.daemon.kill("SIGSTOP");
    t.true(await change(site, others) < IN_FORCE_MS);
    first!.daemon.kill("SIGCONT");
    second!.daemon.kill("SIGCONT");
    await until("in force", () => inForce(first!));
  });
});
