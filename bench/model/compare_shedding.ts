import { Importance } from "../../src/context/importance.ts";
import { POLICIES } from "./policies.ts";
import { surge } from "./surge.ts";

const SEED = 1;
const TIMES = [0.5, 1, 1.5, 2, 3, 5];
const UNTIL_MS = 4500;
/** Left out at both ends: the start of the surge and unfinished requests. */
const FROM_MS = 1500;
const TO_MS = 3500;
const FAN_OUTS = [1, 2];
/** Whole requests a second that the bottleneck can serve, by fan-out. */
const CAPACITY_PER_S: Record<number, number> = { 1: 3000, 2: 375 };

/** Prints goodput of whole requests by policy, load and class. */
export function compareShedding(): void {
  console.log(
    "shedding: goodput of whole requests as a share of capacity, " +
      "and completed share by class",
  );
  for (const fanOut of FAN_OUTS) {
    for (const name of Object.keys(POLICIES)) {
      for (const times of TIMES) {
        console.log(
          `fan_out=${fanOut} policy=${name} times=${times} ` +
            measure(name, times, fanOut),
        );
      }
    }
  }
}

function measure(name: string, times: number, fanOut: number): string {
  const { passages } = surge(POLICIES[name]!, {
    until: UNTIL_MS,
    times: () => times,
    fanOut,
    seed: SEED,
  });
  const seen = passages.filter(({ at }) => at >= FROM_MS && at < TO_MS);
  const complete = seen.filter((passage) => passage.complete).length;
  const perS = complete / ((TO_MS - FROM_MS) / 1000);
  const classes = Importance.options.map((importance, rank) => {
    const own = seen.filter((passage) => passage.rank === rank);
    const good = own.filter((passage) => passage.complete).length;
    return `${importance}=${(good / own.length).toFixed(3)}`;
  });
  const goodput = (perS / CAPACITY_PER_S[fanOut]!).toFixed(3);
  return `goodput=${goodput} ${classes.join(" ")}`;
}
