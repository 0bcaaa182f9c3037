import type { Random } from "../core/random.ts";
import { cost } from "./cost.ts";
import type { Member } from "./member.ts";
import { isUsable } from "./is_usable.ts";
import { slowStartShare } from "./slow_start_share.ts";

/** Members to choose from, and addresses that must not be chosen. */
type Query = { members: Member[]; exclude: ReadonlySet<string> };

/** The less costly one of two random members. */
type Pick = { member: Member; cost: number };

const MAX_TRIES = 4;

/** Chooses by power of two random choices; null if no member is usable. */
export function pickOfTwo(
  query: Query,
  now: number,
  random: Random,
): Pick | null {
  const { members } = query;
  if (members.length === 0) return null;
  const first = draw(query, now, random, null) ?? firstUsable(query, random);
  if (first === null) return null;
  const firstCost = cost(first, now);
  const second = members.length > 1 ? draw(query, now, random, first) : null;
  if (second === null) return { member: first, cost: firstCost };
  const secondCost = cost(second, now);
  return secondCost < firstCost
    ? { member: second, cost: secondCost }
    : { member: first, cost: firstCost };
}

/**
 * Draws a usable member in a few tries; null if all fail. A cold one is skipped
 * at random: otherwise many callers, each without attempts in flight there,
 * would all take the server for idle.
 */
function draw(
  { members, exclude }: Query,
  now: number,
  random: Random,
  taken: Member | null,
): Member | null {
  for (let tries = 0; tries < MAX_TRIES; tries++) {
    const member = members[Math.floor(random() * members.length)]!;
    if (member === taken || !isUsable(member, exclude)) continue;
    const share = slowStartShare(member, now);
    if (share === 1 || random() < share) return member;
  }
  return null;
}

/** Returns the first usable member from a random index on, cold or not. */
function firstUsable(
  { members, exclude }: Query,
  random: Random,
): Member | null {
  const from = Math.floor(random() * members.length);
  for (let offset = 0; offset < members.length; offset++) {
    const member = members[(from + offset) % members.length]!;
    if (isUsable(member, exclude)) return member;
  }
  return null;
}
