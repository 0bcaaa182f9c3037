import process from "node:process";
import { seededRandom } from "../src/core/seeded_random.ts";
import { agedOverlay } from "./membership/aged_overlay.ts";
import { fullOverlay } from "./membership/full_overlay.ts";
import type { Overlay } from "./membership/overlay.ts";
import { spreadRumour } from "./membership/spread_rumour.ts";

/*
 * Compares choices of gossip partners:
 * node --import=tsx bench/partner_choice.ts [SIZE…]
 */

const SIZES = [100, 1_000, 14_000];
const RUNS = 3;
/** Lets the partial views mix before a change is made. */
const WARM_ROUNDS = 50;
const PARTITION_ROUNDS = [10, 60];
const MAX_ROUNDS = 60;
const FAILED_SHARE = 0.1;

type Scenario = { name: string; failedShare: number; partitionRounds: number };

const SCENARIOS: Scenario[] = [
  { name: "rest", failedShare: 0, partitionRounds: 0 },
  { name: "10%-failed", failedShare: FAILED_SHARE, partitionRounds: 0 },
  ...PARTITION_ROUNDS.map((partitionRounds) => ({
    name: `partition-${partitionRounds}`,
    failedShare: 0,
    partitionRounds,
  })),
];

const OVERLAYS: Record<string, (size: number, seed: number) => Overlay> = {
  "full": (size) => fullOverlay(size),
  "aged-c10-sl4": (size, seed) =>
    agedOverlay({ size, slots: 10, shuffled: 4 }, seededRandom(seed)),
  "aged-c20-sl8": (size, seed) =>
    agedOverlay({ size, slots: 20, shuffled: 8 }, seededRandom(seed)),
  "aged-c50-sl8": (size, seed) =>
    agedOverlay({ size, slots: 50, shuffled: 8 }, seededRandom(seed)),
};

/** Runs one change through a scenario; a partition splits the nodes 40 to 60. */
function run(
  { overlay, size, scenario }: {
    overlay: Overlay;
    size: number;
    scenario: Scenario;
  },
  seed: number,
) {
  const random = seededRandom(seed);
  const everybody = new Array<boolean>(size).fill(true);
  const side = everybody.map(() => random() < 0.4);
  const idle = (rounds: number, split: boolean) =>
    spreadRumour({
      overlay,
      alive: everybody,
      connected: (one, two) => !split || side[one] === side[two],
      knowing: [],
      maxRounds: rounds,
    }, random);
  idle(WARM_ROUNDS, false);
  idle(scenario.partitionRounds, true);
  const alive = everybody.map((_, node) =>
    node === 0 || random() >= scenario.failedShare
  );
  return spreadRumour({
    overlay,
    alive,
    connected: () => true,
    // After a partition, all of one side know what the other side missed.
    knowing: scenario.partitionRounds === 0
      ? [0]
      : everybody.flatMap((_, node) => side[node] ? [node] : []),
    maxRounds: MAX_ROUNDS,
  }, random);
}

function median(values: number[]): number {
  return values.sort((one, two) => one - two)[values.length >> 1]!;
}

function main(): void {
  const sizes = process.argv.slice(2).map(Number);
  for (const size of sizes.length > 0 ? sizes : SIZES) {
    for (const scenario of SCENARIOS) {
      for (const [name, create] of Object.entries(OVERLAYS)) {
        const runs = Array.from(
          { length: RUNS },
          (_, seed) =>
            run({ overlay: create(size, seed), size, scenario }, seed),
        );
        const rounds = median(runs.map((each) => each.rounds));
        const messages = median(runs.map((each) => each.messages / size));
        const bytes = median(runs.map((each) => each.bytes / size));
        const repairs = median(runs.map((each) => each.repairs / size));
        const reached = Math.min(...runs.map((each) => each.reached));
        process.stdout.write(
          `members=${size} scenario=${scenario.name} choice=${name} ` +
            `rounds=${rounds} messagesPerNode=${messages.toFixed(1)} ` +
            `bytesPerNode=${bytes.toFixed(0)} ` +
            `repairsPerNode=${repairs.toFixed(3)} ` +
            `reached=${reached.toFixed(4)}\n`,
        );
      }
    }
  }
}

main();
