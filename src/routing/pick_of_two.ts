import type { Random } from "../core/random.ts";
import { cost } from "./cost.ts";
import type { Member } from "./member.ts";
import { isUsable } from "./is_usable.ts";
import { slowStartShare } from "./slow_start_share.ts";

/** A pool of members and those that must not be chosen. */
type Query = { members: Member[]; exclude: ReadonlySet<string> };

/** The less costly one of two random members. */
type Pick = { member: Member; cost: number };

const TRIES = 4;

/** Chooses by power of two random choices; null where none is usable. */
export function pickOfTwo(
  query: Query,
  now: number,
  random: Random,
): Pick | null {
  const { members: pool } = query;
  if (pool.length === 0) return null;
  const first = draw(query, now, random, null) ?? any(query, random);
  if (first === null) return null;
  const firstCost = cost(first, now);
  const second = pool.length > 1 ? draw(query, now, random, first) : null;
  if (second === null) return { member: first, cost: firstCost };
  const secondCost = cost(second, now);
  return secondCost < firstCost
    ? { member: second, cost: secondCost }
    : { member: first, cost: firstCost };
}

/**
 * Draws a few times until a usable member turns up. A cold one is passed over
 * at random: many callers without open attempts there would otherwise all see
 * an idle server.
 */
function draw(
  { members: pool, exclude }: Query,
  now: number,
  random: Random,
  other: Member | null,
): Member | null {
  for (let tries = 0; tries < TRIES; tries++) {
    const member = pool[Math.floor(random() * pool.length)]!;
    if (member === other || !isUsable(member, exclude)) continue;
    const share = slowStartShare(member, now);
    if (share === 1 || random() < share) return member;
  }
  return null;
}

/** Returns the next usable member from a random place on, cold or not. */
function any({ members: pool, exclude }: Query, random: Random): Member | null {
  const from = Math.floor(random() * pool.length);
  for (let step = 0; step < pool.length; step++) {
    const member = pool[(from + step) % pool.length]!;
    if (isUsable(member, exclude)) return member;
  }
  return null;
}
