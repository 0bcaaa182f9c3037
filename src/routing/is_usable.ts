import type { Member } from "./member.ts";

/** Returns whether a member is neither ejected nor leaving nor excluded. */
export function isUsable(
  { observation, candidate }: Member,
  exclude: ReadonlySet<string>,
): boolean {
  return observation.ejectedUntil === 0 && observation.leaving === null &&
    !exclude.has(candidate.address);
}
