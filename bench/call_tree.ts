import type { Random } from "../src/core/random.ts";

/** One service call of a request in the retry model. */
export type CallTree = {
  /** Chance that one attempt at this call fails. */
  failure: number;
  /** Groups of child calls one after the other; calls of a group run together. */
  groups: CallTree[][];
};

const FAULTY_SHARE = 0.03;
const FAULTY_FAILURE = 0.4;
const MAX_CALLS = 60;

/** Returns a random tree at most `depth` calls deep. */
export function callTree(
  random: Random,
  { depth, failure }: { depth: number; failure: number },
): CallTree {
  let calls = 0;
  function grow(left: number): CallTree {
    calls += 1;
    const groups: CallTree[][] = [];
    const count = left === 1 ? 0 : 1 + Math.floor(random() * 2);
    for (let group = 0; group < count && calls < MAX_CALLS; group++) {
      const width = random() < 0.7 ? 1 : 2 + Math.floor(random() * 2);
      // The first call goes on to the full depth, others end anywhere above.
      groups.push(
        Array.from(
          { length: width },
          (_, index) =>
            grow(group + index === 0 ? left - 1 : 1 + Math.floor(random() * 2)),
        ),
      );
    }
    const faulty = random() < FAULTY_SHARE;
    return { failure: faulty ? FAULTY_FAILURE : failure, groups };
  }
  return grow(depth);
}
