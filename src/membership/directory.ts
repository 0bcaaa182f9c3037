import type { Candidate } from "../routing/candidate.ts";
import type { Announcement } from "./announcement.ts";
import type { DataCentreDigest } from "./data_centre_digest.ts";
import type { Identity } from "./identity.ts";
import type { Member } from "./member.ts";

/**
 * Members that provide one service, and the cached list that routing reads;
 * null after a change.
 */
type ServiceMembers = {
  members: Map<string, Member>;
  candidates: Candidate[] | null;
};

/** What one daemon knows about all daemons, including itself. */
export type Directory = {
  identity: Identity;
  members: Map<string, Member>;
  /** Number of live members, see `isLive`. */
  liveCount: number;
  dataCentreDigests: Map<string, DataCentreDigest>;
  /** Sum of the data centre digests, modulo 2^48. */
  digest: number;
  /**
   * Addresses whose reports are queued for sending, with the number of sends
   * left.
   */
  updates: Map<string, number>;
  /** When suspected members of the own data centre count as failed, in ms. */
  suspicionDeadlines: Map<string, number>;
  /** When members departed or failed, in ms, oldest first. */
  tombstones: Map<string, number>;
  /** Time of the last contact with each other data centre, in ms. */
  dataCentreContactAt: Map<string, number>;
  /**
   * Addresses in each other data centre that did not answer since its last
   * contact.
   */
  failedSinceContact: Map<string, Set<string>>;
  /** When unreachable data centres became unreachable, in ms. */
  unreachable: Map<string, number>;
  /** Members by the service that they provide; built on first use. */
  serviceIndex: Map<string, ServiceMembers> | null;
  /**
   * Addresses of the other live daemons by data centre; null after a change.
   */
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
