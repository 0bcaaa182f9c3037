import { execFileSync } from "node:child_process";
import process from "node:process";
import { ulaanbaatar } from "../deployments/ulaanbaatar.ts";
import { vitiLevu } from "../deployments/viti_levu.ts";
import { endMember } from "../fleet/end_member.ts";
import type { Fleet } from "../fleet/fleet.ts";
import { getJson } from "../fleet/get_json.ts";
import { Ports } from "../fleet/ports.ts";
import { runLoad } from "../fleet/run_load.ts";
import { startFleet } from "../fleet/start_fleet.ts";
import { startServer } from "../fleet/start_server.ts";
import { stopFleet } from "../fleet/stop_fleet.ts";
import { seededRandom } from "../src/core/seeded_random.ts";
import { goodputOf } from "./goodput_of.ts";
import { reasonsOf } from "./reasons_of.ts";
import { versions } from "./versions.ts";

// Time from the end of a trigger until goodput is back at 95%.
// Usage: npm run bench -- recovery [deployment] [version,…]
const BASE_PER_S = 200;
const SURGE_PER_S = 900;
const BEGIN_MS = 4_000;
const TRIGGER_MS = 5_000;
const AFTER_MS = 12_000;
const WINDOW_MS = 250;
/** Goodput has to stay up for so many windows. */
const WINDOWS_UP = 4;
const SLOWED_BY_MS = 1_000;
const deployments = { "viti-levu": vitiLevu, ulaanbaatar };
const DEEPEST = { "viti-levu": "dispatch", ulaanbaatar: "zam" };
const BOTTLENECK = { "viti-levu": "bookings", ulaanbaatar: "khurgelt" };

type Trigger = {
  rate: (at: number) => number;
  begin: (fleet: Fleet) => Promise<void>;
  end: (fleet: Fleet) => Promise<void>;
};

const steady = () => BASE_PER_S;
const nothing = () => Promise.resolve();
const isOn = (at: number) => at >= BEGIN_MS && at < BEGIN_MS + TRIGGER_MS;

const TRIGGERS: Record<string, Trigger> = {
  surge: {
    rate: (at) => isOn(at) ? SURGE_PER_S : BASE_PER_S,
    begin: nothing,
    end: nothing,
  },
  "slow deep service": {
    rate: steady,
    begin: (fleet) => slow(fleet, SLOWED_BY_MS),
    end: (fleet) => slow(fleet, 0),
  },
  "surge and slow deep service": {
    rate: (at) => isOn(at) ? SURGE_PER_S : BASE_PER_S,
    begin: (fleet) => slow(fleet, SLOWED_BY_MS),
    end: (fleet) => slow(fleet, 0),
  },
  "server restart": { rate: steady, begin: killServer, end: restartServer },
};

const [name = "viti-levu", chosen = "nutmegmoor,naive"] = process.argv.slice(3);
const key = name as keyof typeof deployments;
const deployment = deployments[key];

execFileSync("node", ["scripts/build.mjs"]);
for (const version of chosen.split(",")) {
  console.log(`\n${version}, ${name}: ${BASE_PER_S} a second before and after`);
  for (const [trigger, about] of Object.entries(TRIGGERS)) {
    await measure(version, trigger, about);
  }
}

async function measure(
  version: string,
  trigger: string,
  { rate, begin, end }: Trigger,
): Promise<void> {
  const fleet = await startFleet({
    deployment,
    base: 62,
    program: versions[version]!,
  });
  try {
    const timers = [
      setTimeout(() => begin(fleet), BEGIN_MS),
      setTimeout(() => end(fleet), BEGIN_MS + TRIGGER_MS),
    ];
    const samples = await runLoad({
      targets: fleet.members.filter(({ kind }) => kind === "daemon")
        .map(({ host }) => `${host}:${Ports.ingress}`),
      traffic: deployment.traffic,
      rate,
      durationMs: BEGIN_MS + TRIGGER_MS + AFTER_MS,
      resends: 3,
      timeoutMs: 8_000,
      random: seededRandom(2),
      prefix: `${version}-${trigger.replaceAll(" ", "-")}`,
    });
    for (const timer of timers) clearTimeout(timer);
    const before = goodputOf(samples, { from: 1_000, to: BEGIN_MS });
    const during = goodputOf(samples, {
      from: BEGIN_MS,
      to: BEGIN_MS + TRIGGER_MS,
    });
    const back = recoveredAfter(samples, before.perSecond);
    console.log(
      `${trigger}: ${before.perSecond.toFixed(0)} before, ${
        during.perSecond.toFixed(0)
      } during, back at 95% after ${back} ms`,
    );
    console.log(`    ${reasonsOf(samples)}`);
  } finally {
    await stopFleet(fleet);
  }
}

/** Judges by when requests were due, so that late successes do not count. */
function recoveredAfter(
  samples: Parameters<typeof goodputOf>[0],
  before: number,
): string {
  const end = BEGIN_MS + TRIGGER_MS;
  let up = 0;
  for (let from = end; from + WINDOW_MS <= end + AFTER_MS; from += WINDOW_MS) {
    const window = { from, to: from + WINDOW_MS };
    const due = samples.filter(({ at }) => at >= from && at < window.to);
    const whole = due.filter(({ result }) => result === "good").length;
    const enough =
      whole >= 0.95 * Math.min(due.length, before * WINDOW_MS / 1000);
    up = enough ? up + 1 : 0;
    if (up === WINDOWS_UP) {
      return String(from + WINDOW_MS - WINDOWS_UP * WINDOW_MS - end);
    }
  }
  return `more than ${AFTER_MS}`;
}

async function slow(fleet: Fleet, delayMs: number): Promise<void> {
  const deep = fleet.members.filter(({ kind, service }) =>
    kind === "server" && service === DEEPEST[key]
  );
  await Promise.all(
    deep.map(({ host }) =>
      getJson(`http://${host}:${Ports.server}/-/control`, { delayMs })
    ),
  );
}

function bottleneck(fleet: Fleet) {
  return fleet.members.find(({ kind, service }) =>
    kind === "server" && service === BOTTLENECK[key]
  )!;
}

function killServer(fleet: Fleet): Promise<void> {
  return endMember(bottleneck(fleet));
}

async function restartServer(fleet: Fleet): Promise<void> {
  const server = bottleneck(fleet);
  const { service, dataCentre, host } = server;
  fleet.members.splice(fleet.members.indexOf(server), 1);
  fleet.members.push(
    await startServer({ deployment, service, dataCentre, host }),
  );
}
