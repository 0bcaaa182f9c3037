import type { Random } from "../core/random.ts";
import { cost } from "./cost.ts";
import type { Member } from "./member.ts";

/** A pool of members and those that must not be chosen. */
type Query = { pool: Member[]; exclude: ReadonlySet<string> };

/** The less costly one of two random members. */
type Pick = { member: Member; cost: number };

const TRIES = 4;

/** Chooses by power of two random choices; null where none is usable. */
export function pick(query: Query, now: number, random: Random): Pick | null {
  const { pool } = query;
  if (pool.length === 0) return null;
  const first = draw(query, random, null);
  if (first === null) return null;
  const firstCost = cost(first, now);
  const second = pool.length > 1 ? draw(query, random, first) : null;
  if (second === null) return { member: first, cost: firstCost };
  const secondCost = cost(second, now);
  return secondCost < firstCost
    ? { member: second, cost: secondCost }
    : { member: first, cost: firstCost };
}

/** Draws until a usable member turns up; after a few tries looks at all. */
function draw(
  { pool, exclude }: Query,
  random: Random,
  other: Member | null,
): Member | null {
  let index = 0;
  for (let tries = 0; tries < TRIES; tries++) {
    index = Math.floor(random() * pool.length);
    const member = pool[index]!;
    if (member !== other && usable(member, exclude)) return member;
  }
  for (let step = 1; step < pool.length; step++) {
    const member = pool[(index + step) % pool.length]!;
    if (member !== other && usable(member, exclude)) return member;
  }
  return null;
}

function usable(member: Member, exclude: ReadonlySet<string>): boolean {
  const { observation, candidate } = member;
  return observation.ejectedUntil === 0 && observation.leaving === null &&
    !exclude.has(candidate.address);
}
