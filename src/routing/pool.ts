import type { Candidate } from "./candidate.ts";
import type { Member } from "./member.ts";

/** Candidates of a service prepared for choices; rebuilt when they change. */
export type Pool = {
  /** The list it was made from, compared by identity. */
  source: readonly Candidate[];
  /** The subset that gets connections. */
  members: Member[];
  /** The daemon itself, where its own server is a candidate. */
  self: Member | null;
  local: Member[];
  remote: Member[];
  ejected: Set<Member>;
  /** Latest choice, in ms. */
  usedAt: number;
};
