import type { Random } from "../../src/core/random.ts";
import type { Overlay } from "./overlay.ts";

/** Bytes as measured by `bench/gossip_scale.ts` for JSON and framing. */
const EXCHANGE_BYTES = 776;
const NEWS_BYTES = 110;
/** Bucket digests and entries of one differing bucket, three more messages. */
const REPAIR_BYTES = 6_000;
const NEIGHBOUR_BYTES = 24;

type Trial = {
  overlay: Overlay;
  /** Nodes that take part; the others never answer. */
  alive: boolean[];
  /** Whether a message between two nodes arrives. */
  connected(one: number, two: number): boolean;
  /** Nodes that know the change at the start. */
  knowing: number[];
  maxRounds: number;
};

/** What it took until all living nodes knew the change. */
type Spread = {
  rounds: number;
  messages: number;
  bytes: number;
  repairs: number;
  /** Share of living nodes that know it at the end. */
  reached: number;
};

/**
 * Spreads one change by push-pull. A node that learns it sends it log2(size)
 * times; where nobody has sends left, the digest shows it at a higher cost.
 */
export function spreadRumour(trial: Trial, random: Random): Spread {
  const { alive, knowing, maxRounds } = trial;
  const sends = Math.ceil(Math.log2(alive.length));
  const left = new Int16Array(alive.length).fill(-1);
  for (const node of knowing) left[node] = sends;
  const living = alive.filter(Boolean).length;
  const spread = { rounds: 0, messages: 0, bytes: 0, repairs: 0, reached: 0 };
  let known = knowing.length;
  const learn = (from: number, to: number) => {
    spread.bytes += left[from]! > 0 ? NEWS_BYTES : REPAIR_BYTES;
    if (left[from]! === 0) spread.repairs++;
    left[to] = sends;
    known++;
  };
  const meet = (one: number, two: number) => {
    for (const [from, to] of [[one, two], [two, one]] as const) {
      if (left[from]! >= 0 && left[to]! < 0) learn(from, to);
      else if (left[from]! > 0) spread.bytes += NEWS_BYTES;
      if (left[from]! > 0) left[from]!--;
    }
  };
  while (known < living && spread.rounds < maxRounds) {
    spread.rounds++;
    runRound(trial, { spread, meet }, random);
  }
  return { ...spread, reached: known / living };
}

function runRound(
  { overlay, alive, connected }: Trial,
  { spread, meet }: {
    spread: Spread;
    meet(one: number, two: number): void;
  },
  random: Random,
): void {
  for (let node = 0; node < alive.length; node++) {
    if (!alive[node]) continue;
    const partner = overlay.choose(node, random);
    if (partner === null) continue;
    spread.messages++;
    if (!alive[partner] || !connected(node, partner)) {
      spread.bytes += EXCHANGE_BYTES / 2;
      overlay.miss(node, partner);
      continue;
    }
    spread.messages++;
    spread.bytes += EXCHANGE_BYTES +
      NEIGHBOUR_BYTES * overlay.meet(node, partner, random);
    meet(node, partner);
  }
  overlay.age();
}
