// Processor time that the daemons of the users' platform spend on one request:
// node --import=tsx bench/sidecar_cost.ts [REQUESTS_PER_S] [SECONDS] [PROFILE_DIR]
import { once } from "node:events";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { sendTo } from "../platform/standin/send_to.ts";
import { startSite } from "../platform/standin/start_site.ts";
import { cpuOf } from "./cpu_of.ts";

const ZONES = ["a"];
const SERVICES = ["shop", "order", "sheet", "slot"];
const NET = 90;
const JOIN_MS = 3_000;
const WARM_UP_S = 3;
const TURN_MS = 20;
const MS_PER_S = 1_000;
const US_PER_MS = 1_000;

// Each request makes one nested call: two passes of two daemons each.
const PATHS = [
  ["shop", "/safe/?call=order.example/safe/"],
  ["order", "/safe/?call=sheet.example/safe/"],
  ["sheet", "/safe/?call=slot.example/safe/"],
  ["slot", "/safe/"],
] as const;

const perS = Number(process.argv[2] ?? 400);
const seconds = Number(process.argv[3] ?? 8);
const profiles = process.argv[4];

const site = await startSite({
  net: NET,
  vms: ZONES.flatMap((zone) => SERVICES.map((service) => ({ zone, service }))),
  nodeArguments: [
    "--single-threaded-gc",
    "--max-semi-space-size=4",
    ...(profiles === undefined
      ? []
      : ["--cpu-prof", `--cpu-prof-dir=${profiles}`]),
  ],
});
site.configure(1);
await sleep(JOIN_MS);

let sent = 0;
let good = 0;
async function load(forS: number): Promise<void> {
  const ends = Date.now() + forS * MS_PER_S;
  const each = perS * TURN_MS / MS_PER_S;
  const open: Promise<void>[] = [];
  for (let due = each; Date.now() < ends; due += each) {
    for (; due >= 1; due--) {
      const [service, path] = PATHS[sent % PATHS.length]!;
      const vm = site.vms[sent++ % site.vms.length]!;
      open.push(
        sendTo(vm.ip, `${service}.example`, path).then(({ status }) => {
          if (status === 200) good++;
        }),
      );
    }
    await sleep(TURN_MS);
  }
  await Promise.all(open);
}
const spentMs = () =>
  site.vms.reduce((sum, { daemon }) => sum + cpuOf(daemon.pid!).cpuMs, 0);

await load(WARM_UP_S);
const [sentBefore, goodBefore, cpuBefore] = [sent, good, spentMs()];
await load(seconds);
const cpuMs = spentMs() - cpuBefore;
const requests = sent - sentBefore;
const rss = site.vms.map(({ daemon }) => cpuOf(daemon.pid!).rssMib);
console.log({
  requests,
  good: good - goodBefore,
  cpuUsPerRequest: Math.round(US_PER_MS * cpuMs / requests),
  rssMib: Math.round(Math.max(...rss)),
});
// A profile is written where the process ends by itself.
if (profiles !== undefined) {
  for (const { daemon } of site.vms) daemon.kill("SIGTERM");
  await Promise.all(site.vms.map(({ daemon }) => once(daemon, "exit")));
}
await site.stop();
