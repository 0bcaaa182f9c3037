import type { Random } from "../core/random.ts";
import type { Directory } from "./directory.ts";
import { peersOf } from "./peers_of.ts";

/** Helpers in the own data centre, as in SWIM with k = 3. */
const NEAR_HELPERS = 2;
/** One elsewhere, for when most of the own data centre has failed at once. */
const FAR_HELPERS = 1;

/** Chooses daemons that probe `target` on behalf of this one. */
export function chooseHelpers(
  directory: Directory,
  target: string,
  random: Random,
): string[] {
  const { identity: { dataCentre }, unreachable: lost } = directory;
  const near: string[] = [];
  const far: string[] = [];
  for (const [name, addresses] of peersOf(directory)) {
    if (name === dataCentre) near.push(...addresses);
    else if (!lost.has(name)) far.push(...addresses);
  }
  return [
    ...sample(near, { count: NEAR_HELPERS, target }, random),
    ...sample(far, { count: FAR_HELPERS, target }, random),
  ];
}

function sample(
  list: string[],
  { count, target }: { count: number; target: string },
  random: Random,
): string[] {
  const rest = list.filter((address) => address !== target);
  const chosen: string[] = [];
  while (chosen.length < count && rest.length > 0) {
    chosen.push(...rest.splice(Math.floor(random() * rest.length), 1));
  }
  return chosen;
}
