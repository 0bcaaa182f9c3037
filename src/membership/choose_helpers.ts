import type { Random } from "../core/random.ts";
import type { Directory } from "./directory.ts";
import { peersOf } from "./peers_of.ts";

/**
 * Helpers in the own data centre. With the remote one there are three, as in
 * SWIM with its k set to 3.
 */
const LOCAL_HELPERS = 2;
/**
 * One in another data centre, in case most of the own one has failed at once.
 */
const REMOTE_HELPERS = 1;

/** Chooses daemons that probe `target` on behalf of this one. */
export function chooseHelpers(
  directory: Directory,
  target: string,
  random: Random,
): string[] {
  const { identity: { dataCentre }, unreachable } = directory;
  const local: string[] = [];
  const remote: string[] = [];
  for (const [name, addresses] of peersOf(directory)) {
    if (name === dataCentre) local.push(...addresses);
    else if (!unreachable.has(name)) remote.push(...addresses);
  }
  return [
    ...sample(local, { count: LOCAL_HELPERS, target }, random),
    ...sample(remote, { count: REMOTE_HELPERS, target }, random),
  ];
}

function sample(
  addresses: string[],
  { count, target }: { count: number; target: string },
  random: Random,
): string[] {
  const remaining = addresses.filter((address) => address !== target);
  const chosen: string[] = [];
  while (chosen.length < count && remaining.length > 0) {
    chosen.push(
      ...remaining.splice(Math.floor(random() * remaining.length), 1),
    );
  }
  return chosen;
}
