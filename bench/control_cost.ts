// Measures what control costs a daemon, against the number of daemons:
// node --import=tsx bench/control_cost.ts [COUNT...]
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { buildSync } from "esbuild";
import { setTimeout as delay } from "node:timers/promises";
import { z } from "zod";
import type { Fleet } from "../fleet/fleet.ts";
import { getJson } from "../fleet/get_json.ts";
import { Ports } from "../fleet/ports.ts";
import { startDaemon } from "../fleet/start_daemon.ts";
import { startPlatform } from "../fleet/start_platform.ts";
import { stopFleet } from "../fleet/stop_fleet.ts";
import { generateKeys } from "../src/library.ts";
import { smallDeployment } from "../test/small_deployment.ts";
import { submit } from "../test/submit.ts";
import { cpuOf } from "./cpu_of.ts";

const BASE = 112;
const COUNTS = [12, 24, 48, 96];
const REST_MS = 30_000;
const SETTLE_MS = 10_000;
const CHANGES = 10;
const STARTED_AT_ONCE = 6;
const POLL_MS = 50;
const ANNOUNCE_MS = 500;
/** Ethernet, IP and TCP headers with timestamps, for each packet. */
const PACKET_BYTES = 66;

const Meter = z.object({
  sentBytes: z.number(),
  receivedBytes: z.number(),
  writes: z.number(),
  connections: z.number(),
});
type Meter = z.infer<typeof Meter>;

async function startDaemons(count: number): Promise<Fleet> {
  const platform = `127.${BASE}.0.1`;
  const directory = mkdtempSync(join(tmpdir(), "nutmegmoor-"));
  const meter = join(directory, "meter.mjs");
  // Loading TypeScript in each daemon would show in CPU share and memory.
  buildSync({
    entryPoints: ["bench/socket_meter.ts"],
    outfile: meter,
    bundle: true,
    platform: "node",
    format: "esm",
  });
  const fleet: Fleet = {
    deployment: smallDeployment,
    members: await startPlatform(platform),
    directory,
    platform,
    program: [`--import=${meter}`, "dist/nutmegmoor.cjs"],
    log: "nutmegmoor:daemon",
    keys: generateKeys(),
  };
  try {
    const vms = Array.from({ length: count }, (_, index) => ({
      dataCentre: `centre-${index % 3}`,
      host: `127.${BASE}.${index % 3 + 1}.${Math.floor(index / 3) + 1}`,
      service: "shop",
    }));
    const peers = vms.slice(0, 3).map(({ host }) => host);
    const { publicKey } = fleet.keys;
    for (let next = 0; next < count; next += STARTED_AT_ONCE) {
      const batch = vms.slice(next, next + STARTED_AT_ONCE);
      fleet.members.push(
        ...await Promise.all(
          batch.map((vm) => startDaemon({ ...fleet, ...vm, publicKey, peers })),
        ),
      );
    }
    return fleet;
  } catch (error) {
    await stopFleet(fleet);
    throw error;
  }
}

type Status = { members: number; rulesSequence: number };

async function waitFor(
  hosts: string[],
  holds: (status: Status) => boolean,
): Promise<number> {
  const start = performance.now();
  const waiting = new Set(hosts);
  while (waiting.size > 0) {
    await Promise.all([...waiting].map(async (host) => {
      const status = await getJson<Status>(
        `http://${host}:${Ports.local}/-/status`,
      );
      if (holds(status)) waiting.delete(host);
    }));
    await delay(POLL_MS);
  }
  return performance.now() - start;
}

/** Announces a server for a daemon, as its own process would. */
function announce(host: string, state: "up" | "leaving") {
  return getJson(`http://${host}:${Ports.local}/-/announce`, {
    service: "shop",
    address: `${host}:${Ports.server}`,
    slots: 10,
    connections: 10,
    state,
  }, "PUT");
}

async function knowAsLeaving(host: string, leaver: string): Promise<boolean> {
  type Members = { members: { address: string; state: string }[] };
  const { members } = await getJson<Members>(
    `http://${host}:${Ports.local}/-/members`,
  );
  return members.find(({ address }) => address.startsWith(`${leaver}:`))
    ?.state === "leaving";
}

/** Returns the ms from the announcement until every daemon knows of it. */
async function measureLeaving(hosts: string[]): Promise<number> {
  const leaver = hosts[0]!;
  await announce(leaver, "leaving");
  const start = performance.now();
  const waiting = new Set(hosts);
  while (waiting.size > 0) {
    await Promise.all([...waiting].map(async (host) => {
      if (await knowAsLeaving(host, leaver)) waiting.delete(host);
    }));
    await delay(POLL_MS);
  }
  return performance.now() - start;
}

/** Asks each daemon's meter for its counts; see `socket_meter.ts`. */
async function readMeters(fleet: Fleet): Promise<Meter[]> {
  const daemons = fleet.members.filter(({ kind }) => kind === "daemon");
  const marks = daemons.map(({ log }) => log.length);
  for (const { process: child } of daemons) child.kill("SIGUSR2");
  return await Promise.all(daemons.map(async ({ log }, index) => {
    for (;;) {
      const found = /meter=(\{.*?\})/.exec(log.slice(marks[index]).join(""));
      if (found !== null) return Meter.parse(JSON.parse(found[1]!));
      await delay(POLL_MS);
    }
  }));
}

async function measureRest(fleet: Fleet) {
  const daemons = fleet.members.filter(({ kind }) => kind === "daemon");
  const usage = () => daemons.map(({ process: child }) => cpuOf(child.pid!));
  const before = { meters: await readMeters(fleet), usage: usage() };
  const start = performance.now();
  await delay(REST_MS);
  const after = { meters: await readMeters(fleet), usage: usage() };
  const seconds = (performance.now() - start) / 1000;
  const rate = (name: keyof Meter) =>
    after.meters.map((meter, index) =>
      (meter[name] - before.meters[index]![name]) / seconds
    );
  const mean = (values: number[]) =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  const cpu = after.usage.map(({ cpuMs }, index) =>
    (cpuMs - before.usage[index]!.cpuMs) / 10 / seconds
  );
  // For each message sent one is received, and each is acknowledged by a packet
  // of its own at worst; opening and closing a connection takes seven packets.
  const packets = 4 * mean(rate("writes")) + 7 * mean(rate("connections"));
  return {
    sentBytesPerS: Math.round(mean(rate("sentBytes"))),
    receivedBytesPerS: Math.round(mean(rate("receivedBytes"))),
    headerBytesPerSEstimated: Math.round(packets * PACKET_BYTES),
    connectionsPerS: mean(rate("connections")).toFixed(2),
    cpuPercentMean: mean(cpu).toFixed(2),
    cpuPercentMax: Math.max(...cpu).toFixed(2),
    rssMibMax: Math.max(...after.usage.map(({ rssMib }) => rssMib)).toFixed(0),
  };
}

async function measure(count: number): Promise<void> {
  const fleet = await startDaemons(count);
  const hosts = fleet.members.filter(({ kind }) => kind === "daemon")
    .map(({ host }) => host);
  const heartbeats = setInterval(() => {
    for (const host of hosts.slice(1)) announce(host, "up").catch(() => {});
  }, ANNOUNCE_MS);
  try {
    await waitFor(hosts, ({ members }) => members === count);
    const inEffect: number[] = [];
    for (let version = 1; version <= CHANGES; version++) {
      const change = { version, mark: version, changeId: `change-${version}` };
      const { kind } = await submit(fleet, change);
      if (kind !== "accepted") throw new Error(`Submit ended ${kind}`);
      inEffect.push(
        await waitFor(hosts, ({ rulesSequence }) => rulesSequence >= version),
      );
    }
    await announce(hosts[0]!, "up");
    await delay(ANNOUNCE_MS);
    const leavingMs = Math.round(await measureLeaving(hosts));
    clearInterval(heartbeats);
    await delay(SETTLE_MS);
    const rest = await measureRest(fleet);
    const sorted = [...inEffect].sort((one, two) => one - two);
    console.log(JSON.stringify({
      daemons: count,
      ...rest,
      rulesMsMedian: Math.round(sorted[CHANGES >> 1]!),
      rulesMsMax: Math.round(sorted.at(-1)!),
      leavingMs,
    }));
  } finally {
    clearInterval(heartbeats);
    await stopFleet(fleet);
  }
}

const counts = process.argv.slice(2).map(Number);
for (const count of counts.length > 0 ? counts : COUNTS) await measure(count);
