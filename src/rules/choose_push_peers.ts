import type { Random } from "../core/random.ts";

// Each daemon pushes a new head once. With three pushes per daemon, about 94%
// of the daemons are reached; the others learn of the head by gossip and pull.
const PUSH_PEERS = 3;

/** Chooses the random peers that a new head is pushed to. */
export function choosePushPeers(
  peers: readonly string[],
  random: Random,
): string[] {
  const rest = [...peers];
  const chosen: string[] = [];
  while (chosen.length < PUSH_PEERS && rest.length > 0) {
    const index = Math.floor(random() * rest.length);
    chosen.push(...rest.splice(index, 1));
  }
  return chosen;
}
