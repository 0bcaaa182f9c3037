import { POLICIES } from "./policies.ts";
import { surge } from "./surge.ts";

const FAN_OUT = 2;
const SEEDS = [1, 2, 3];
const SURGE_FROM_MS = 1000;
const SURGE_TO_MS = 3000;
const UNTIL_MS = 9000;
const LAST_MS = 7500;
const WINDOW_MS = 100;
const BEFORE = 0.7;
const DURING = 3;
const RECOVERED = 0.95;

/** Prints how long after a surge goodput stays below 95% of what is offered. */
export function measureRecovery(): void {
  console.log(
    `recovery: ${DURING} times capacity for ` +
      `${SURGE_TO_MS - SURGE_FROM_MS} ms, ${BEFORE} before and after`,
  );
  for (const [name, policy] of Object.entries(POLICIES)) {
    for (const seed of SEEDS) {
      const { passages, levels } = surge(policy, {
        until: UNTIL_MS,
        times: (now) =>
          now >= SURGE_FROM_MS && now < SURGE_TO_MS ? DURING : BEFORE,
        fanOut: FAN_OUT,
        seed,
      });
      let recoveredMs = 0;
      for (let from = SURGE_TO_MS; from < LAST_MS; from += WINDOW_MS) {
        const seen = passages.filter(({ at }) =>
          at >= from && at < from + WINDOW_MS
        );
        const good = seen.filter((passage) => passage.complete).length;
        if (good < RECOVERED * seen.length) {
          recoveredMs = from + WINDOW_MS - SURGE_TO_MS;
        }
      }
      const zero = levels.findIndex((each, at) =>
        at >= SURGE_TO_MS && each === 0
      );
      console.log(
        `policy=${name} seed=${seed} recovery=${
          recoveredMs === LAST_MS - SURGE_TO_MS ? ">" : ""
        }${recoveredMs}ms` +
          ` level_zero_after=${zero - SURGE_TO_MS}ms`,
      );
    }
  }
}
