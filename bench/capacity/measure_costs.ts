import process from "node:process";
import { seededRandom } from "../../src/core/seeded_random.ts";
import { answerBuckets } from "../../src/membership/answer_buckets.ts";
import { BUCKET_COUNT } from "../../src/membership/bucket_count.ts";
import { candidates } from "../../src/membership/candidates.ts";
import { chooseHelpers } from "../../src/membership/choose_helpers.ts";
import { choosePartner } from "../../src/membership/choose_partner.ts";
import type { Directory } from "../../src/membership/directory.ts";
import { merge } from "../../src/membership/merge.ts";
import { peersOf } from "../../src/membership/peers_of.ts";
import { planBootstrap } from "../../src/membership/plan_bootstrap.ts";
import { startExchange } from "../../src/membership/start_exchange.ts";
import { tick } from "../../src/membership/tick.ts";
import { choosePushPeers } from "../../src/rules/choose_push_peers.ts";
import { pollDelay } from "../../src/rules/poll_delay.ts";
import { createEntry } from "./create_entry.ts";
import { knownDirectory } from "./known_directory.ts";
import { measureSenders } from "./measure_senders.ts";
import { PLAN } from "./plan.ts";

const RULES = { sequence: 123_456, digest: "0".repeat(64) };

/** Prints the CPU of one call, as the best of three series. */
function report(name: string, rounds: number, work: (round: number) => void) {
  let best = Infinity;
  for (let series = 0; series < 3; series++) {
    const before = process.cpuUsage();
    for (let round = 0; round < rounds; round++) work(round);
    const { user, system } = process.cpuUsage(before);
    best = Math.min(best, (user + system) / rounds);
  }
  process.stdout.write(`${name}=${best.toFixed(2)}us\n`);
}

/** Prints what the parts of a daemon's control work cost at the planned size. */
export function measureCosts(): void {
  const all = Array.from({ length: PLAN.daemons }, (_, i) => createEntry(i));
  const random = seededRandom(1);
  report("merge of all entries", 5, () => knownDirectory(0, all));
  const directory = knownDirectory(0, all);
  measureMembership(directory, random);
  measureRules(directory, random);
  measureSenders();
}

function measureMembership(directory: Directory, random: () => number) {
  let sequence = 10;
  const change = (index: number) =>
    merge(directory, [{ ...createEntry(index), sequence: sequence++ }], 0);
  const { service } = createEntry(0).server!;
  candidates(directory, service);
  report("merge of one changed entry", 2_000, (round) => {
    change(1 + round);
    directory.updates.clear();
  });
  report("merge and candidate list of 11", 2_000, () => {
    change(PLAN.services);
    candidates(directory, service);
    directory.updates.clear();
  });
  report("service index of all", 20, () => {
    directory.serviceIndex = null;
    candidates(directory, service);
  });
  report("lists of peers of all", 50, () => {
    directory.peers = null;
    peersOf(directory);
  });
  report("directory tick", 5_000, () => tick(directory, 0));
  report(
    "choice of a partner",
    5_000,
    () => choosePartner(directory, random, 0),
  );
  report(
    "choice of helpers",
    200,
    () => chooseHelpers(directory, createEntry(10).address, random),
  );
  report(
    "first leg, no news",
    5_000,
    () => startExchange(directory, { rules: RULES, partner: "x" }),
  );
  measureRepair(directory);
}

/** A round of repair in which three data centres differ in 3 buckets each. */
function measureRepair(directory: Directory): void {
  const buckets = [...directory.dataCentreDigests].slice(0, 3).map((
    [name, centre],
  ) =>
    [
      name,
      [...centre.buckets].map((digest, index) =>
        index < 3 ? digest + 1 : digest
      ),
    ] as [string, number[]]
  );
  if (buckets[0]![1].length !== BUCKET_COUNT) throw new Error("No buckets");
  const request = startExchange(directory, { rules: RULES, partner: "x" });
  report(
    "answer to bucket digests",
    50,
    () => answerBuckets(directory, { ...request, stage: 2, buckets }, []),
  );
}

function measureRules(directory: Directory, random: () => number): void {
  const { address, dataCentre } = directory.identity;
  const live = () => [address, ...(peersOf(directory).get(dataCentre) ?? [])];
  report(
    "rules tick, 4 a second",
    200,
    () =>
      pollDelay(
        { address, dataCentre, live: live(), headReceivedAt: 0 },
        0,
        random,
      ),
  );
  report(
    "choice of push peers",
    200,
    () => choosePushPeers([...peersOf(directory).values()].flat(), random),
  );
  report(
    "bootstrap plan, one a minute",
    20,
    () => planBootstrap(directory, { rows: new Map(), wallMs: 0 }, 0),
  );
}
