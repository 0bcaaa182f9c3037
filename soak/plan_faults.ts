import type { Random } from "../src/core/random.ts";
import type { Fault, FaultKind } from "./fault.ts";

// Relative frequency of each kind.
const WEIGHTS: Record<FaultKind, number> = {
  kill: 3,
  pause: 2,
  stop: 3,
  reload: 2,
  delayLinks: 2,
  cutOneWay: 2,
  silenceLinks: 2,
  resetLinks: 2,
  storeSilent: 1,
  storeBusy: 1,
  storeLosesAnswers: 1,
  storeForgets: 1,
  storeCut: 1,
  serverLosesAnswers: 1,
  serverCutsAnswers: 1,
  serverLeaves: 1,
  change: 3,
};
const KINDS = Object.keys(WEIGHTS) as FaultKind[];
const MIN_DURATION_MS = 300;
const MAX_DURATION_MS = 3_000;
// Faults of one kind come in series of up to this many, SERIES_GAP_MS apart.
const MAX_SERIES_LENGTH = 3;
const SERIES_GAP_MS = 400;

/** Generates random faults that start within `forMs`; some come in series or overlap. */
export function planFaults(
  random: Random,
  { vms, forMs, perS }: { vms: number; forMs: number; perS: number },
): Fault[] {
  const total = KINDS.reduce((sum, kind) => sum + WEIGHTS[kind], 0);
  const faults: Fault[] = [];
  const count = Math.round(perS * forMs / 1_000);
  while (faults.length < count) {
    let draw = random() * total;
    const kind = KINDS.find((candidate) => (draw -= WEIGHTS[candidate]) < 0) ??
      KINDS[0]!;
    const series = 1 + Math.floor(random() * MAX_SERIES_LENGTH);
    const start = random() * forMs;
    for (let index = 0; index < series; index++) {
      faults.push({
        kind,
        vm: Math.floor(random() * vms),
        at: Math.min(forMs, start + index * SERIES_GAP_MS),
        forMs: MIN_DURATION_MS + random() * (MAX_DURATION_MS - MIN_DURATION_MS),
      });
    }
  }
  return faults.sort((a, b) => a.at - b.at);
}
