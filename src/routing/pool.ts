import type { Candidate } from "./candidate.ts";
import type { Member } from "./member.ts";

/** Candidates of a service, grouped for balancing; rebuilt when they change. */
export type Pool = {
  /** The list that the pool was built from, compared by identity. */
  source: readonly Candidate[];
  /** The subset that this daemon connects to. */
  members: Member[];
  /** This daemon, if its own server is a candidate. */
  self: Member | null;
  /** Members in the data centre of this daemon. */
  local: Member[];
  /** Members in other data centres. */
  remote: Member[];
  ejected: Set<Member>;
  /** Time of the latest choice, in ms. */
  usedAt: number;
};
