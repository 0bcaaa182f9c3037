import { hash } from "../core/hash.ts";

// Three, so that the loss of two at once delays no change.
const POLLERS = 3;

/**
 * Returns the daemons of a data centre that poll the store: those with the
 * lowest hashes among the live ones. Daemons with the same view agree without
 * coordination; with different views there are a few more or fewer.
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
