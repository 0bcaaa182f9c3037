import type { Candidate } from "../routing/candidate.ts";
import type { Announcement } from "./announcement.ts";
import type { DataCentreDigest } from "./data_centre_digest.ts";
import type { Identity } from "./identity.ts";
import type { Member } from "./member.ts";

/** The members that offer one service, and the list read by the request path. */
type ServiceMembers = {
  members: Map<string, Member>;
  candidates: Candidate[] | null;
};

/** What one daemon knows about all daemons, itself included. */
export type Directory = {
  identity: Identity;
  members: Map<string, Member>;
  /** Number of live members. */
  liveCount: number;
  dataCentreDigests: Map<string, DataCentreDigest>;
  /** Sum of the data centre digests, modulo 2^48. */
  digest: number;
  /** Addresses to tell others about, with the number of sends left. */
  updates: Map<string, number>;
  /** Deadlines of suspicions in the own data centre, in ms. */
  suspicionDeadlines: Map<string, number>;
  /** Departed and failed members by the time they became so, oldest first. */
  tombstones: Map<string, number>;
  /** Time of the last contact with each other data centre, in ms. */
  dataCentreContactAt: Map<string, number>;
  /** Addresses of each other data centre that failed since its last answer. */
  failedSinceContact: Map<string, Set<string>>;
  /** Unreachable data centres by the time they became so, in ms. */
  unreachable: Map<string, number>;
  /** Members by service; null until the first request asks. */
  serviceIndex: Map<string, ServiceMembers> | null;
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
