import { hash } from "../core/hash.ts";

// Three, so that no change is delayed when two of them fail at once.
const POLLERS = 3;

/**
 * Returns the daemons of a data centre that poll the store: the live ones with
 * the lowest hashes. Daemons with the same view of the membership choose the
 * same pollers without coordination; while views differ, there are a few more
 * or fewer.
 */
export function choosePollers(
  dataCentre: string,
  live: readonly string[],
): string[] {
  return live
    .map((address) => ({ address, rank: hash(`${dataCentre} ${address}`) }))
    .sort((left, right) =>
      left.rank - right.rank || (left.address < right.address ? -1 : 1)
    )
    .slice(0, POLLERS)
    .map(({ address }) => address);
}
