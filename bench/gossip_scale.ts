import { Buffer } from "node:buffer";
import process from "node:process";
import { seededRandom } from "../src/core/seeded_random.ts";
import { candidates } from "../src/membership/candidates.ts";
import { createDirectory } from "../src/membership/create_directory.ts";
import { markGone } from "../src/membership/mark_gone.ts";
import type { Directory } from "../src/membership/directory.ts";
import { markLeaving } from "../src/membership/mark_leaving.ts";
import { merge } from "../src/membership/merge.ts";
import { ownMember } from "../src/membership/own_member.ts";
import { refreshOwnEntry } from "../src/membership/refresh_own_entry.ts";
import { writeOwnEntry } from "../src/membership/write_own_entry.ts";
import { collectGarbage } from "./membership/collect_garbage.ts";
import { createInstallation } from "./membership/installation.ts";
import { measureWire } from "./membership/measure_wire.ts";
import { runRound } from "./membership/run_round.ts";

/*
 * Measures gossip with pure exchanges in one process:
 * node --import=tsx --max-old-space-size=1800 bench/gossip_scale.ts [SIZE…]
 */

const SIZES = [100, 1_000, 5_000, 14_000];
const CHANGES = 5;
const MAX_ROUNDS = 60;
const CHURN_ROUNDS = 214;
/** 808 departures and restarts a day. */
const RESTART_EVERY_ROUNDS = 107;
const MESSAGES_PER_EXCHANGE = 2;

type Installation = ReturnType<typeof createInstallation>;
const newCost = () => ({ exchanges: 0, messages: 0, bytes: 0 });
const print = (fields: Record<string, string | number>) =>
  process.stdout.write(
    Object.entries(fields).map(([key, value]) =>
      `${key}=${typeof value === "number" ? Number(value.toFixed(3)) : value}`
    ).join(" ") + "\n",
  );

/** Changes one entry and returns the rounds until 99% and all know it. */
function spread(
  installation: Installation,
  { lossShare, silent }: { lossShare: number; silent: boolean },
  seed: number,
) {
  const { all } = installation;
  const random = seededRandom(seed);
  const owner = all[Math.floor(random() * all.length)]!;
  const { address } = owner.identity;
  const { incarnation, sequence } = ownMember(owner).entry;
  writeOwnEntry(owner, { incarnation, sequence: sequence + 1 }, 0);
  if (silent) owner.updates.clear();
  const knows = (one: Directory) =>
    one.members.get(address)!.entry.sequence > sequence;
  const cost = newCost();
  let most = 0;
  for (let round = 1; round <= MAX_ROUNDS; round++) {
    runRound({ ...installation, cost, lossShare }, round * 1_000, random);
    const share = all.filter(knows).length / all.length;
    if (most === 0 && share >= 0.99) most = round;
    if (share === 1) return { most, every: round, cost };
  }
  return { most, every: Infinity, cost };
}

function printSpread(
  installation: Installation,
  label: string,
  options: { lossShare: number; silent: boolean },
) {
  const runs = Array.from(
    { length: CHANGES },
    (_, seed) => spread(installation, options, seed + 1),
  );
  const median = (values: number[]) =>
    values.sort((one, two) => one - two)[values.length >> 1]!;
  print({
    measure: label,
    members: installation.all.length,
    roundsTo99: median(runs.map(({ most }) => most)),
    roundsToAllMedian: median(runs.map(({ every }) => every)),
    roundsToAllMax: Math.max(...runs.map(({ every }) => every)),
  });
}

/** Runs rounds with no change and returns bytes and CPU. */
function printRest(installation: Installation, framingBytes: number) {
  const { all } = installation;
  const random = seededRandom(9);
  const rounds = Math.max(5, Math.ceil(20_000 / all.length));
  for (const one of all) one.updates.clear();
  const cost = newCost();
  const before = process.cpuUsage();
  for (let round = 1; round <= rounds; round++) {
    runRound({ ...installation, cost, lossShare: 0 }, 1e5 + round, random);
  }
  const { user, system } = process.cpuUsage(before);
  printBytes("rest", { installation, cost, rounds, framingBytes });
  print({
    measure: "cpu-pure",
    members: all.length,
    microsecondsPerExchange: (user + system) / cost.exchanges,
  });
}

function printBytes(
  measure: string,
  { installation, cost, rounds, framingBytes }: {
    installation: Installation;
    cost: ReturnType<typeof newCost>;
    rounds: number;
    framingBytes: number;
  },
) {
  const daemonRounds = installation.all.length * rounds;
  const framing = framingBytes * cost.messages / MESSAGES_PER_EXCHANGE;
  // Each message is sent once, so this is also what a daemon receives.
  print({
    measure,
    members: installation.all.length,
    jsonBytesSentPerDaemonPerSecond: cost.bytes / daemonRounds,
    withFramingSentPerDaemonPerSecond: (cost.bytes + framing) / daemonRounds,
    messagesPerExchange: cost.messages / cost.exchanges,
  });
}

/** Restarts one daemon: leaving, gone, then a new process that knows one seed. */
function restart(installation: Installation, index: number, phase: number) {
  const { all } = installation;
  const directory = all[index]!;
  const now = directory.tickedAt;
  if (phase === 0) markLeaving(directory, now);
  if (phase === 5) markGone(directory, now);
  if (phase === 8) {
    const { identity } = directory;
    const incarnation = ownMember(directory).entry.incarnation + 86_400_000;
    all[index] = createDirectory({ ...identity, incarnation }, now);
    const seed = all[(index + 10) % all.length]!;
    merge(all[index]!, [ownMember(seed).entry], now);
  }
  if (phase === 10) {
    directory.announcement = all[(index + 1) % all.length]!.announcement;
    directory.heartbeatAt = Infinity;
    refreshOwnEntry(directory, now);
  }
}

function printChurn(installation: Installation, framingBytes: number) {
  const { all } = installation;
  const random = seededRandom(5);
  const cost = newCost();
  const start = 1e6;
  let index = 0;
  for (const one of all) one.tickedAt = start;
  for (let round = 0; round < CHURN_ROUNDS; round++) {
    const phase = round % RESTART_EVERY_ROUNDS;
    if (phase === 0) index = Math.floor(random() * all.length);
    restart(installation, index, phase);
    runRound(
      { ...installation, cost, lossShare: 0 },
      start + round * 1_000,
      random,
    );
  }
  const rounds = CHURN_ROUNDS;
  printBytes("restarts-808-a-day", {
    installation,
    cost,
    rounds,
    framingBytes,
  });
  print({
    measure: "restarts-converged",
    members: all.length,
    digests: new Set(all.map(({ digest }) => digest)).size,
  });
}

/** Returns entries as they arrive from the network, sharing no strings. */
function receivedEntries(size: number): Buffer {
  const { all } = createInstallation(size);
  return Buffer.from(JSON.stringify(all.map((one) => ownMember(one).entry)));
}

function printMemory(size: number) {
  const received = receivedEntries(size);
  const before = collectGarbage();
  const directory = createDirectory(
    { address: "10.255.0.1:7001", dataCentre: "x", instance: "i" },
    0,
  );
  merge(directory, JSON.parse(received.toString()), 0);
  directory.updates.clear();
  const stored = collectGarbage();
  for (let service = 0; service < 1_300; service++) {
    candidates(directory, `service-${service}`);
  }
  const indexed = collectGarbage();
  print({
    measure: "memory",
    members: size,
    bytesPerEntry: (stored - before) / size,
    withCandidateLists: (indexed - before) / size,
    bytesDirectory: indexed - before,
  });
}

async function main() {
  const wire = await measureWire();
  print({ measure: "wire-at-rest", ...wire });
  const sizes = process.argv.slice(2).map(Number);
  for (const size of sizes.length > 0 ? sizes : SIZES) {
    printMemory(size);
    const installation = createInstallation(size);
    printRest(installation, wire.framingBytes);
    printSpread(installation, "news", { lossShare: 0, silent: false });
    printSpread(installation, "news-10%-lost", {
      lossShare: 0.1,
      silent: false,
    });
    printSpread(installation, "digests-only", { lossShare: 0, silent: true });
    printChurn(installation, wire.framingBytes);
    print({ measure: "process", rssMB: process.memoryUsage().rss / 1e6 });
  }
}

await main();
