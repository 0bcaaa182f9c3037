import type { Random } from "../../src/core/random.ts";
import type { Overlay } from "./overlay.ts";

type Neighbour = { node: number; age: number };
type Shape = {
  size: number;
  /** Neighbours that a node keeps. */
  slots: number;
  /** Neighbours that are exchanged, the own entry included. */
  shuffled: number;
};

/**
 * Aged partial views with shuffling: a node meets its oldest neighbour, and
 * both swap a random subset of their views.
 */
export function agedOverlay(
  { size, slots, shuffled }: Shape,
  random: Random,
): Overlay {
  const views = Array.from(
    { length: size },
    (_, node) => initialView({ node, size, slots }, random),
  );
  return {
    choose: (node) => oldest(views[node]!)?.node ?? null,
    meet(node, partner, source) {
      const [own, other] = [views[node]!, views[partner]!];
      remove(own, partner);
      const sent = [
        { node, age: 0 },
        ...sample(own, shuffled - 1, source),
      ];
      const reply = sample(other, shuffled, source);
      take(other, { self: partner, received: sent, sent: reply, slots });
      take(own, { self: node, received: reply, sent, slots });
      return sent.length + reply.length;
    },
    miss: (node, partner) => remove(views[node]!, partner),
    age: () => views.forEach((view) => view.forEach((each) => each.age++)),
  };
}

function initialView(
  { node, size, slots }: { node: number; size: number; slots: number },
  random: Random,
): Neighbour[] {
  const chosen = new Set<number>();
  while (chosen.size < slots) {
    const other = Math.floor(random() * size);
    if (other !== node) chosen.add(other);
  }
  return [...chosen].map((other) => ({ node: other, age: 0 }));
}

function oldest(view: Neighbour[]): Neighbour | undefined {
  let found = view[0];
  for (const each of view) if (each.age > found!.age) found = each;
  return found;
}

function remove(view: Neighbour[], node: number): void {
  const index = view.findIndex((each) => each.node === node);
  if (index >= 0) view.splice(index, 1);
}

function sample(view: Neighbour[], count: number, random: Random) {
  const rest = [...view];
  const chosen: Neighbour[] = [];
  while (chosen.length < count && rest.length > 0) {
    chosen.push(...rest.splice(Math.floor(random() * rest.length), 1));
  }
  return chosen;
}

/** Merges what was received into empty slots, then into those that were sent. */
function take(
  view: Neighbour[],
  { self, received, sent, slots }: {
    self: number;
    received: Neighbour[];
    sent: Neighbour[];
    slots: number;
  },
): void {
  const replaceable = sent.map(({ node }) => node);
  for (const { node, age } of received) {
    if (node === self || view.some((each) => each.node === node)) continue;
    while (view.length >= slots && replaceable.length > 0) {
      remove(view, replaceable.pop()!);
    }
    if (view.length < slots) view.push({ node, age });
  }
}
