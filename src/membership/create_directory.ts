import type { Directory } from "./directory.ts";
import type { Identity } from "./identity.ts";
import { writeOwnEntry } from "./write_own_entry.ts";

/** Creates the directory of a daemon process that has just started. */
export function createDirectory(identity: Identity, now: number): Directory {
  const directory: Directory = {
    identity,
    members: new Map(),
    liveCount: 0,
    dataCentreDigests: new Map(),
    digest: 0,
    updates: new Map(),
    suspicionDeadlines: new Map(),
    tombstones: new Map(),
    dataCentreContactAt: new Map(),
    failedSinceContact: new Map(),
    unreachable: new Map(),
    serviceIndex: null,
    peers: null,
    announcement: null,
    heartbeatAt: now,
    phase: "present",
    contactAt: now,
    tickedAt: now,
  };
  writeOwnEntry(directory, {
    incarnation: identity.incarnation ?? Math.floor(now),
    sequence: 0,
  }, now);
  return directory;
}
