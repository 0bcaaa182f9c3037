import { execFileSync } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { cpus, tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { build } from "hdr-histogram-js";
import { Pool } from "undici";
import { vitiLevu } from "../deployments/viti_levu.ts";
import { endMember } from "../fleet/end_member.ts";
import { getJson } from "../fleet/get_json.ts";
import type { Member } from "../fleet/member.ts";
import { Ports } from "../fleet/ports.ts";
import { formatSettings } from "../fleet/format_settings.ts";
import { spawnMember } from "../fleet/spawn_member.ts";
import { cpuOf } from "./cpu_of.ts";

// Latency that two daemon hops add, in alternation with the direct call and
// with two bare relay hops. Usage: npm run bench -- latency [rounds]
const SERVER = "127.0.1.2";
const INGRESS = "127.0.1.1";
const BARE = ["127.0.9.1", "127.0.9.2"] as const;
const PATH = "/inventory/stock/rack";
const PER_ROUND = 400;
const WARM_UP = 3_000;

type Path = { name: string; pool: Pool; path: string; members: Member[] };

async function main(rounds: number): Promise<void> {
  execFileSync("node", ["scripts/build.mjs"]);
  const members: Member[] = [];
  try {
    const server = await startServer(members);
    const daemons = [
      await startDaemon(members, INGRESS, SERVER),
      await startDaemon(members, SERVER, INGRESS),
    ];
    const bare = [
      await startBare(members, BARE[1], `http://${SERVER}:${Ports.server}`),
      await startBare(members, BARE[0], `http://${BARE[1]}:7000`),
    ];
    const paths: Path[] = [
      path("direct", `${SERVER}:${Ports.server}`, "/stock/rack", [server]),
      path("bare two hops", `${BARE[0]}:7000`, "/stock/rack", bare),
      path("nutmegmoor two hops", `${INGRESS}:${Ports.ingress}`, PATH, daemons),
    ];
    await waitForRoute(paths[2]!);
    console.log(
      `machine: ${cpus().length} cores, Node ${process.version}, commit ${
        execFileSync("git", ["rev-parse", "--short", "HEAD"]).toString().trim()
      }`,
    );
    for (const load of LOADS) await compare(paths, load, rounds);
  } finally {
    await Promise.all(members.map((member) => endMember(member)));
  }
}

type Load = { name: string; concurrency: number; gapMs: number };

const LOADS: Load[] = [
  { name: "one at a time", concurrency: 1, gapMs: 0 },
  { name: "130 a second", concurrency: 1, gapMs: 1000 / 130 },
  { name: "8 at a time", concurrency: 8, gapMs: 0 },
  { name: "64 at a time (saturation)", concurrency: 64, gapMs: 0 },
];

async function compare(paths: Path[], load: Load, rounds: number) {
  const histograms = paths.map(() => build({ useWebAssembly: false }));
  const cpu = paths.map(() => 0);
  const rejected = paths.map(() => 0);
  const count = load.gapMs > 0 ? PER_ROUND / 2 : PER_ROUND;
  for (const { pool, path } of paths) {
    for (let index = 0; index < WARM_UP; index++) await get(pool, path);
  }
  for (let round = 0; round < rounds; round++) {
    for (const [index, { pool, path, members }] of paths.entries()) {
      const before = total(members);
      rejected[index]! += await burst({ pool, path }, load, count, (us) => {
        histograms[index]!.recordValue(Math.max(1, Math.round(us)));
      });
      cpu[index]! += total(members) - before;
    }
  }
  console.log(`\n${load.name}, ${rounds} rounds of ${count} requests`);
  console.log(
    "path | p50 µs | p90 µs | p99 µs | CPU µs a request | RSS MiB | rejected",
  );
  for (const [index, { name, members }] of paths.entries()) {
    const at = (p: number) => histograms[index]!.getValueAtPercentile(p);
    const us = (cpu[index]! * 1000 / (rounds * count)).toFixed(0);
    const rss = members.map(({ process: { pid } }) =>
      cpuOf(pid!).rssMib.toFixed(0)
    );
    console.log(
      `${name} | ${at(50)} | ${at(90)} | ${at(99)} | ${us} | ${
        rss.join(" + ")
      }`,
    );
  }
}

async function burst(
  { pool, path }: { pool: Pool; path: string },
  load: Load,
  count: number,
  record: (us: number) => void,
): Promise<number> {
  let sent = 0;
  let rejected = 0;
  const worker = async () => {
    while (sent < count) {
      sent += 1;
      const start = performance.now();
      if (!await get(pool, path)) {
        rejected += 1;
        continue;
      }
      record((performance.now() - start) * 1000);
      const rest = load.gapMs - (performance.now() - start);
      if (rest > 0) await new Promise((resolve) => setTimeout(resolve, rest));
    }
  };
  await Promise.all(Array.from({ length: load.concurrency }, worker));
  return rejected;
}

async function get(pool: Pool, path: string): Promise<boolean> {
  const { statusCode, body } = await pool.request({ method: "GET", path });
  await body.dump();
  return statusCode === 200;
}

function total(members: Member[]): number {
  return members.reduce(
    (sum, { process: { pid } }) => sum + cpuOf(pid!).cpuMs,
    0,
  );
}

function path(
  name: string,
  address: string,
  path: string,
  members: Member[],
): Path {
  const pool = new Pool(`http://${address}`, { connections: 64 });
  return { name, pool, path, members };
}

async function startServer(members: Member[]): Promise<Member> {
  const settings = {
    service: "inventory",
    host: SERVER,
    port: Ports.server,
    daemon: `${SERVER}:${Ports.local}`,
    slots: 110,
    connections: 750,
    operations: [{ method: "GET", path: "/stock/*", workMs: 0, bytes: 500 }],
  };
  return await start(members, {
    name: "server",
    host: SERVER,
    args: [
      "--import=tsx",
      "standin/server/main.ts",
      JSON.stringify(settings),
    ],
  });
}

async function startDaemon(members: Member[], host: string, peer: string) {
  const file = join(mkdtempSync(join(tmpdir(), "nutmegmoor-")), "daemon.ini");
  const text = formatSettings({
    deployment: vitiLevu,
    host,
    dataCentre: "suva",
    peers: [peer],
    platform: "127.0.0.1",
    publicKey: "MCowBQYDK2VwAyEAzIq4zUOyhgtlZDWK4jlKTXzkUYyQxANTPEYSNpwpigQ=",
    log: "nutmegmoor:*",
  });
  writeFileSync(file, text);
  const args = ["dist/nutmegmoor.cjs", "daemon", "--settings", file];
  return await start(members, { name: `daemon ${host}`, host, args });
}

function startBare(members: Member[], host: string, next: string) {
  const args = ["--import=tsx", "bench/bare_relay.ts", host, "7000", next];
  return start(members, { name: `bare ${host}`, host, args });
}

async function start(
  members: Member[],
  plan: { name: string; host: string; args: string[] },
): Promise<Member> {
  const member = await spawnMember({
    ...plan,
    kind: "daemon",
    service: "",
    dataCentre: "",
    command: process.execPath,
    ready: /listening/,
  });
  members.push(member);
  return member;
}

async function waitForRoute({ pool, path }: Path): Promise<void> {
  for (let tries = 0; tries < 100; tries++) {
    const { statusCode, body } = await pool.request({ method: "GET", path });
    await body.dump();
    if (statusCode === 200) return;
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
  throw new Error(
    `No route: ${
      JSON.stringify(await getJson(`http://${INGRESS}:7002/-/status`))
    }`,
  );
}

await main(Number(process.argv[3] ?? 10));
