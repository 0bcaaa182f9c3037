import type { Candidate } from "../routing/candidate.ts";
import type { Announcement } from "./announcement.ts";
import type { Centre } from "./centre.ts";
import type { Identity } from "./identity.ts";
import type { Member } from "./member.ts";

/** The members that offer one service, and the list read by the request path. */
type Offer = { members: Map<string, Member>; list: Candidate[] | null };

/** What one daemon knows about all daemons, itself included. */
export type Directory = {
  identity: Identity;
  members: Map<string, Member>;
  /** Number of live members. */
  live: number;
  centres: Map<string, Centre>;
  /** Sum of the data centre digests, modulo 2^48. */
  digest: number;
  /** Addresses to tell others about, with the number of sends left. */
  news: Map<string, number>;
  /** Deadlines of suspicions in the own data centre, in ms. */
  suspects: Map<string, number>;
  /** Departed and failed members by the time they became so, oldest first. */
  tombstones: Map<string, number>;
  /** Time of the last contact with each other data centre, in ms. */
  heardAt: Map<string, number>;
  /** Addresses of each other data centre that failed since its last answer. */
  failing: Map<string, Set<string>>;
  /** Unreachable data centres by the time they became so, in ms. */
  lost: Map<string, number>;
  /** Members by service; null until the first request asks. */
  offers: Map<string, Offer> | null;
  /** Live addresses by data centre; null after a change. */
  peers: Map<string, string[]> | null;
  announcement: Announcement | null;
  /** Time of the last heartbeat of the own backend server, in ms. */
  heartbeatAt: number;
  /** Phase of the own planned shutdown. */
  phase: "present" | "leaving" | "gone";
  /** Time of the last exchange that succeeded, in ms. */
  contactAt: number;
  tickedAt: number;
};
