import type { Directory } from "./directory.ts";
import type { Identity } from "./identity.ts";
import { writeOwn } from "./write_own.ts";

/** Creates the directory of a daemon process that has just started. */
export function createDirectory(identity: Identity, now: number): Directory {
  const directory: Directory = {
    identity,
    members: new Map(),
    live: 0,
    centres: new Map(),
    digest: 0,
    news: new Map(),
    suspects: new Map(),
    tombstones: new Map(),
    heardAt: new Map(),
    failing: new Map(),
    lost: new Map(),
    offers: null,
    peers: null,
    announcement: null,
    heartbeatAt: now,
    phase: "present",
    contactAt: now,
    tickedAt: now,
  };
  writeOwn(directory, {
    incarnation: identity.incarnation ?? Math.floor(now),
    sequence: 0,
  }, now);
  return directory;
}
