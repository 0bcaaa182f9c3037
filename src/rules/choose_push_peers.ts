import type { Random } from "../core/random.ts";

// Each daemon pushes a head once: three pushes each reach about 94% of the
// daemons, the others learn the head by gossip and pull.
const PUSH_PEERS = 3;

/** Returns a few random peers that a new head is pushed to. */
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
